/**
 * Splits a stream of bytes into complete events.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Nothing but lines that are comments. */
const COMMENTS_PATTERN = /^(?::[^\r\n]*(?:\r\n|\n|\r|$))*$/;

/** A blank line at the end, whatever ends the lines. */
const BLANK_LINE_END_PATTERN = /(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)$/;

const ID_FIELD_PATTERN = /^id:[ ]?(.*)$/m;

/** Unchanged bytes of an event, including the blank line that ends it. */
export interface RawEvent {
  readonly bytes: Buffer;
  /** Identifier of the event; absent when it has none. */
  readonly id?: string;
}

/**
 * Splits `text/event-stream` bytes at the blank lines between events.
 *
 * Events are not parsed and serialised again, because their bytes must reach
 * the caller unchanged.
 */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not complete yet. */
  get remainder(): Buffer {
    return this.pending;
  }

  /** True when the bytes after the last complete event belong to another one. */
  get isInsideEvent(): boolean {
    const text = this.pending.toString('latin1');
    return !COMMENTS_PATTERN.test(text) && !BLANK_LINE_END_PATTERN.test(text);
  }

  /**
   * Adds the next bytes of the stream.
   *
   * @param chunk - Bytes in the order of their arrival
   * @returns The events that the chunk completes
   */
  push(chunk: Buffer): RawEvent[] {
    const bytes =
      this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const events: RawEvent[] = [];
    let start = 0;
    let lineStart = 0;
    for (;;) {
      const lineEnd = bytes.indexOf(LINE_FEED, lineStart);
      if (lineEnd === -1) {
        break;
      }
      if (isBlankLine(bytes, lineStart, lineEnd)) {
        events.push(createEvent(bytes.subarray(start, lineEnd + 1)));
        start = lineEnd + 1;
      }
      lineStart = lineEnd + 1;
    }
    this.pending = bytes.subarray(start);
    return events;
  }
}

function isBlankLine(bytes: Buffer, start: number, end: number): boolean {
  return (
    end === start || (end === start + 1 && bytes[start] === CARRIAGE_RETURN)
  );
}

function createEvent(bytes: Buffer): RawEvent {
  const match = ID_FIELD_PATTERN.exec(bytes.toString('latin1'));
  const id = match?.[1]?.replace(/\r$/, '');
  return id === undefined ? {bytes} : {bytes, id};
}
