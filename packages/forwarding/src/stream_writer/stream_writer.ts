/**
 * Writes an event stream to its caller.
 */
import type {IncomingMessage} from 'node:http';

import type {EventBatch} from '../event_splitter/event_splitter.js';
import {closesConnection} from '../closes_connection/closes_connection.js';
import type {Exchange, ExchangeResult} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/**
 * Forwards complete events as they arrive. Status and headers are those of the
 * endpoint that sent the first of them.
 */
export class StreamWriter {
  private headResponse: IncomingMessage | undefined;
  private eventCount = 0;
  private newestEventId: string | undefined;
  private firstByteMilliseconds: number | undefined;

  /**
   * @param exchange - The request
   * @param context - Services shared by the request handlers
   */
  constructor(
    private readonly exchange: Exchange,
    private readonly context: Pick<
      ForwardingContext,
      'clock' | 'dialect' | 'shutdown'
    >,
  ) {}

  /** Number of events sent to the caller. */
  get sentEvents(): number {
    return this.eventCount;
  }

  /** Identifier of the newest event sent that has one. */
  get lastEventId(): string | undefined {
    return this.newestEventId;
  }

  /**
   * Records a stream response. Status and headers are those of the last one
   * before the first event.
   */
  recordResponse(response: IncomingMessage): void {
    if (!this.exchange.response.headersSent) {
      this.headResponse = response;
    }
  }

  /**
   * Writes events.
   *
   * @returns A promise if the caller's socket buffer is full; it resolves when
   *   the buffer has drained or the connection has closed
   */
  write(batch: EventBatch): Promise<void> | undefined {
    const {response} = this.exchange;
    if (response.destroyed) {
      return undefined;
    }
    this.writeHead();
    this.eventCount += batch.eventCount;
    this.newestEventId = batch.lastId ?? this.newestEventId;
    const isDrained = response.write(batch.bytes);
    this.countUnsentBytes();
    if (isDrained) {
      return undefined;
    }
    return new Promise(resolve => {
      const resume = () => {
        response.off('drain', resume);
        response.off('close', resume);
        this.countUnsentBytes();
        resolve();
      };
      response.on('drain', resume);
      response.on('close', resume);
    });
  }

  /**
   * Ends a complete stream.
   *
   * @param remainder - Bytes after the last event
   * @returns How the exchange ended
   */
  complete(remainder: Buffer): ExchangeResult {
    const {response} = this.exchange;
    this.writeHead();
    response.end(remainder);
    return {
      outcome: 'done',
      status: response.statusCode,
      firstByteMilliseconds: this.firstByteMilliseconds,
    };
  }

  private countUnsentBytes(): void {
    const {response, memory} = this.exchange;
    memory.setUnsentBytes(response.writableLength);
  }

  private writeHead(): void {
    const {response, arrivedAt} = this.exchange;
    const {headResponse, context} = this;
    if (response.headersSent || headResponse === undefined) {
      return;
    }
    this.firstByteMilliseconds = context.clock.now() - arrivedAt;
    const headers = context.dialect.buildResponseHeaders(
      headResponse.rawHeaders,
    );
    if (closesConnection(this.exchange, context)) {
      headers.push('Connection', 'close');
    }
    response.writeHead(headResponse.statusCode ?? 0, headers);
  }
}
