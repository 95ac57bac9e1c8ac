/**
 * The event stream that one endpoint sends for a request.
 */
import type {IncomingMessage} from 'node:http';

import type {Clock, EndpointEntry} from '@briarpin/coordination';
import type {BodyFraming} from '@briarpin/platform';

import {MAXIMUM_BUFFERED_BYTES} from '../buffer_body/buffer_body.js';
import {collectChunks} from '../collect_chunks/collect_chunks.js';
import {
  EventSplitter,
  type EventBatch,
} from '../event_splitter/event_splitter.js';
import type {MemoryAccount} from '../memory_budget/memory_budget.js';
import {isEventStream} from '../open_result/open_result.js';
import {PieceRate} from '../piece_rate/piece_rate.js';

/**
 * Longest event that is collected before it is forwarded, with the bytes before
 * it that are none.
 */
const MAXIMUM_EVENT_BYTES = 1_048_576;

/** Most chunks in which an event arrives. */
const MAXIMUM_EVENT_CHUNKS = 16_384;

/** How an endpoint's stream ended. */
export type EndpointStreamEnd =
  /** The stream is complete; `remainder` follows the last blank line. */
  | {readonly kind: 'complete'; readonly remainder: Buffer}
  /** The endpoint broke the stream off, or this process stopped it. */
  | {readonly kind: 'broken'; readonly reason: string}
  /** No bytes arrived within the idle timeout. */
  | {readonly kind: 'silent'};

/** Options of {@link EndpointStream}. */
export interface EndpointStreamOptions {
  readonly endpoint: EndpointEntry;
  readonly response: IncomingMessage;
  readonly framing: BodyFraming;
  readonly clock: Pick<Clock, 'now'>;
  /** Finds out, after the last byte of the body, whether it is complete. */
  readonly confirmEnd: () => Promise<boolean>;
  /** Closes the connection to the endpoint. */
  readonly abort: () => void;
  /** Endpoint that stores a checkpoint of this run. */
  readonly checkpointHolder?: EndpointEntry;
  /** Removes this run from the load counted for the endpoint. */
  readonly releaseLoad: () => void;
  /** Account of the request, which holds the memory of unfinished events. */
  readonly memory: Pick<
    MemoryAccount,
    'holdResponse' | 'setResponseBytes' | 'releaseResponse'
  >;
  /** Longest pause between chunks; without it there is no limit. */
  readonly idleTimeoutMilliseconds?: number;
  /**
   * Handles the events that have arrived together.
   *
   * @returns A promise if reading must pause until it resolves
   */
  readonly onEvents: (batch: EventBatch) => Promise<void> | undefined;
  /**
   * Called when reading pauses, for the caller or for lack of memory: the time to
   * the next event then shows nothing of the endpoint's pace.
   */
  readonly onPause: () => void;
}

/** Reads events from one endpoint until its stream ends. */
export class EndpointStream {
  readonly endpoint: EndpointEntry;
  readonly checkpointHolder?: EndpointEntry;
  private readonly splitter = new EventSplitter();
  private readonly pieceRate: PieceRate;
  private idleTimer: NodeJS.Timeout | undefined;
  private resolveEnd: ((end: EndpointStreamEnd) => void) | undefined;
  private isStopped = false;
  private hasEnded = false;
  private eventCount = 0;
  /** Number of chunks since the last complete event. */
  private unfinishedChunks = 0;
  /** Number of promises that reading waits for. */
  private openPauses = 0;
  private hasPaused = false;

  /**
   * @param options - Source of the stream and handlers of its events
   */
  constructor(private readonly options: EndpointStreamOptions) {
    this.endpoint = options.endpoint;
    this.checkpointHolder = options.checkpointHolder;
    this.pieceRate = new PieceRate(options.clock);
  }

  /**
   * Reads until the stream completes, breaks or is stopped.
   *
   * @returns How the stream ended
   */
  run(): Promise<EndpointStreamEnd> {
    const {response} = this.options;
    return new Promise(resolve => {
      this.resolveEnd = end => {
        this.resolveEnd = undefined;
        clearTimeout(this.idleTimer);
        this.options.releaseLoad();
        if (end.kind === 'complete') {
          this.options.memory.setResponseBytes(this.unfinishedBytes);
        } else {
          this.options.memory.releaseResponse();
        }
        resolve(end);
      };
      collectChunks(response, (bytes, chunkCount) =>
        this.handleBytesSafely(bytes, chunkCount),
      );
      response.on('end', () => {
        this.hasEnded = true;
        void this.classifyEnd().then(end => this.resolveEnd?.(end));
      });
      response.on('error', error =>
        this.resolveEnd?.({kind: 'broken', reason: error.message}),
      );
      response.on('close', () => {
        if (!this.hasEnded) {
          this.resolveEnd?.({kind: 'broken', reason: 'the connection closed'});
        }
      });
    });
  }

  /** What delimits the body of the response. */
  get framing(): BodyFraming {
    return this.options.framing;
  }

  /** True if reading paused for the caller or for lack of memory. */
  get wasPaused(): boolean {
    return this.hasPaused;
  }

  /** Number of complete events received. */
  get receivedEvents(): number {
    return this.eventCount;
  }

  /** Number of bytes received after the last complete event. */
  get unfinishedBytes(): number {
    return this.splitter.remainder.length;
  }

  /** Discards further events and closes the connection. */
  stop(reason: string): void {
    this.isStopped = true;
    this.resolveEnd?.({kind: 'broken', reason});
    this.options.abort();
  }

  /** A body that is no event stream is forwarded when it has ended. */
  private get maximumUnfinishedBytes(): number {
    return isEventStream(this.options.response)
      ? MAXIMUM_EVENT_BYTES
      : MAXIMUM_BUFFERED_BYTES;
  }

  /** Finds out whether the body that has ended is the whole stream. */
  private async classifyEnd(): Promise<EndpointStreamEnd> {
    const {response, framing, confirmEnd} = this.options;
    const hasEvents = isEventStream(response);
    if (hasEvents && this.splitter.isInsideEvent) {
      return {kind: 'broken', reason: 'the stream ended inside an event'};
    }
    if (hasEvents && framing === 'connection' && this.eventCount === 0) {
      return {
        kind: 'broken',
        reason: 'the stream ended before its first event',
      };
    }
    return (await confirmEnd())
      ? {kind: 'complete', remainder: this.splitter.remainder}
      : {kind: 'broken', reason: 'the stream broke off'};
  }

  /**
   * Handles bytes; a failure breaks this stream off. An exception here would end
   * the process, as a listener of the connection throws it.
   */
  private handleBytesSafely(bytes: Buffer, chunkCount: number): void {
    try {
      this.handleBytes(bytes, chunkCount);
    } catch (error) {
      const text = error instanceof Error ? error.message : String(error);
      this.stop(`its events were not forwarded: ${text}`);
    }
  }

  private handleBytes(bytes: Buffer, chunkCount: number): void {
    if (this.isStopped) {
      return;
    }
    this.restartIdleTimer();
    const batch = this.splitter.push(bytes);
    if (this.pieceRate.record(chunkCount + (batch?.eventCount ?? 0))) {
      this.stop('more events arrive than an endpoint makes');
      return;
    }
    if (batch !== undefined) {
      this.pauseUntil(this.options.onEvents(batch));
      this.eventCount += batch.eventCount;
    }
    this.unfinishedChunks =
      batch === undefined ? this.unfinishedChunks + chunkCount : 0;
    this.holdUnfinished();
  }

  /** Holds the memory of an unfinished event, or breaks off one without end. */
  private holdUnfinished(): void {
    const {unfinishedBytes, maximumUnfinishedBytes} = this;
    if (
      unfinishedBytes > maximumUnfinishedBytes ||
      this.unfinishedChunks > MAXIMUM_EVENT_CHUNKS
    ) {
      this.stop('an event is too large');
    }
    if (this.isStopped) {
      return;
    }
    this.pauseUntil(
      this.options.memory.holdResponse(unfinishedBytes, maximumUnfinishedBytes),
    );
  }

  /** Pauses reading until all promises given so far have resolved. */
  private pauseUntil(ready: Promise<void> | undefined): void {
    if (ready === undefined) {
      return;
    }
    const {response} = this.options;
    this.hasPaused = true;
    this.openPauses += 1;
    this.options.onPause();
    response.pause();
    void ready.then(() => {
      this.openPauses -= 1;
      if (this.openPauses === 0) {
        response.resume();
      }
    });
  }

  private restartIdleTimer(): void {
    const {idleTimeoutMilliseconds} = this.options;
    if (idleTimeoutMilliseconds === undefined) {
      return;
    }
    if (this.idleTimer !== undefined) {
      this.idleTimer.refresh();
      return;
    }
    this.idleTimer = setTimeout(() => {
      this.isStopped = true;
      this.resolveEnd?.({kind: 'silent'});
      this.options.abort();
    }, idleTimeoutMilliseconds);
  }
}
