/**
 * One generation and a bounded buffer of its tokens.
 */
import type {Failure, Finished} from '@briarpin/messages';

/** How a generation ended. */
export type GenerationEnd =
  | {readonly kind: 'finished'; readonly finished: Finished}
  | {readonly kind: 'failed'; readonly failure: Failure};

/** Result of one read. */
export type GenerationItem =
  | {
      readonly kind: 'tokens';
      readonly firstIndex: number;
      readonly texts: string[];
    }
  | {readonly kind: 'end'; readonly end: GenerationEnd}
  /** The requested tokens are no longer buffered. */
  | {readonly kind: 'behind'}
  /** The reader has been replaced by another one or detached. */
  | {readonly kind: 'superseded'};

/**
 * Buffers a window of the tokens of a generation.
 *
 * The window holds tokens behind the reader's position, so that another reader
 * can continue when the reader fails, and tokens ahead of it. The producer
 * waits while the window is full, which bounds the memory that a slow reader
 * uses.
 */
export class Generation {
  private texts: string[] = [];
  private windowStart = 0;
  private cursor = 0;
  private currentReader = 0;
  private recordedEnd: GenerationEnd | undefined;
  private wakeReader: (() => void) | undefined;
  private wakeProducer: (() => void) | undefined;
  private readerDetachedAt: number | undefined;

  /**
   * @param attemptId - Identifier of the attempt
   * @param windowTokens - Number of unread tokens at which the producer waits;
   *     at least as many read tokens stay buffered
   */
  constructor(
    readonly attemptId: string,
    private readonly windowTokens: number,
  ) {}

  /** Index of the next token to be appended. */
  get tokenCount(): number {
    return this.windowStart + this.texts.length;
  }

  get end(): GenerationEnd | undefined {
    return this.recordedEnd;
  }

  /** Number of appended tokens that the reader has not read. */
  get unreadCount(): number {
    return this.tokenCount - this.cursor;
  }

  /**
   * Time at which the last reader detached, in milliseconds; undefined before
   * the first reader attaches and while one is attached.
   */
  get detachedAt(): number | undefined {
    return this.readerDetachedAt;
  }

  /**
   * Sets the index at which the window starts; valid only while the generation
   * has no tokens.
   *
   * @param index - Index of the first token that will be appended
   */
  startAt(index: number): void {
    this.windowStart = index;
    this.cursor = index;
  }

  /**
   * Appends tokens and waits while the window is full.
   *
   * @param firstIndex - Index of the first token
   * @param texts - The tokens; those already appended are dropped
   */
  async append(firstIndex: number, texts: readonly string[]): Promise<void> {
    const newTexts = texts.slice(Math.max(0, this.tokenCount - firstIndex));
    this.texts.push(...newTexts);
    this.wakeReader?.();
    while (this.unreadCount >= this.windowTokens && !this.recordedEnd) {
      await new Promise<void>(resolve => (this.wakeProducer = resolve));
    }
  }

  /** Ends the generation; later calls have no effect. */
  settle(end: GenerationEnd): void {
    this.recordedEnd ??= end;
    this.wakeReader?.();
    this.wakeProducer?.();
  }

  /**
   * Attaches a reader, which supersedes the previous one.
   *
   * @returns Identifier of the reader
   */
  attach(): number {
    this.currentReader += 1;
    this.readerDetachedAt = undefined;
    this.wakeReader?.();
    return this.currentReader;
  }

  /**
   * Detaches a reader; has no effect when another one has superseded it.
   *
   * @param reader - Identifier of the reader
   * @param now - Current time, in milliseconds since the epoch
   * @returns True when the generation has no reader any more
   */
  detach(reader: number, now: number): boolean {
    if (reader !== this.currentReader) {
      return false;
    }
    this.readerDetachedAt = now;
    this.wakeReader?.();
    return true;
  }

  /**
   * Waits for tokens from an index on, or for the end.
   *
   * @param reader - Identifier of the reader
   * @param index - Index of the first requested token
   * @returns The tokens, the end, or the reason why the reader must stop
   */
  async read(reader: number, index: number): Promise<GenerationItem> {
    for (;;) {
      if (
        reader !== this.currentReader ||
        this.readerDetachedAt !== undefined
      ) {
        return {kind: 'superseded'};
      }
      if (index < this.windowStart) {
        return {kind: 'behind'};
      }
      this.moveCursor(index);
      const texts = this.texts.slice(index - this.windowStart);
      if (texts.length > 0) {
        return {kind: 'tokens', firstIndex: index, texts};
      }
      if (this.recordedEnd !== undefined) {
        return {kind: 'end', end: this.recordedEnd};
      }
      await new Promise<void>(resolve => (this.wakeReader = resolve));
    }
  }

  private moveCursor(index: number): void {
    this.cursor = index;
    const excess = index - this.windowTokens - this.windowStart;
    if (excess >= this.windowTokens) {
      this.texts = this.texts.slice(excess);
      this.windowStart += excess;
    }
    if (this.unreadCount < this.windowTokens) {
      this.wakeProducer?.();
    }
  }
}
