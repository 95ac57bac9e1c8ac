/**
 * Writing a stream of events to its caller.
 */
import type {IncomingMessage} from 'node:http';

import type {WholeEvent} from '../event_splitter/event_splitter.js';
import type {
  Exchange,
  ExchangeEnd,
  ForwardingParts,
} from '../exchange/exchange.js';

/**
 * Passes events on as they come, each whole, under the head of the first
 * endpoint that answered.
 */
export class StreamWriter {
  private head: IncomingMessage | undefined;
  private written = 0;
  private newestId: string | undefined;
  private firstAfter: number | undefined;

  /**
   * @param exchange - The request
   * @param parts - Parts of the gateway
   */
  constructor(
    private readonly exchange: Exchange,
    private readonly parts: Pick<
      ForwardingParts,
      'clock' | 'dialect' | 'isLeaving'
    >,
  ) {}

  /** Events that the caller has been sent. */
  get events(): number {
    return this.written;
  }

  /** Identity of the newest of them. */
  get lastEventId(): string | undefined {
    return this.newestId;
  }

  /** Notes an answer that holds a stream; the first one gives the head. */
  noteAnswer(response: IncomingMessage): void {
    this.head ??= response;
  }

  /**
   * Writes an event.
   *
   * @returns A promise when the caller must catch up first
   */
  write(event: WholeEvent): Promise<void> | undefined {
    const {response} = this.exchange;
    if (response.destroyed) {
      return undefined;
    }
    this.writeHead();
    this.written += 1;
    this.newestId = event.id ?? this.newestId;
    if (response.write(event.bytes)) {
      return undefined;
    }
    return new Promise(resolve => {
      response.once('drain', resolve);
      response.once('close', resolve);
    });
  }

  /**
   * Ends the stream as complete.
   *
   * @param remainder - Bytes after the last event
   * @returns How the exchange ended
   */
  complete(remainder: Buffer): ExchangeEnd {
    const {response} = this.exchange;
    this.writeHead();
    response.end(remainder);
    return {
      outcome: 'done',
      status: response.statusCode,
      firstMilliseconds: this.firstAfter,
    };
  }

  private writeHead(): void {
    const {response, arrivedAt} = this.exchange;
    const {head, parts} = this;
    if (response.headersSent || head === undefined) {
      return;
    }
    this.firstAfter = parts.clock.now() - arrivedAt;
    const headers = parts.dialect.writeAnswer(head.rawHeaders);
    if (parts.isLeaving()) {
      headers.push('Connection', 'close');
    }
    response.writeHead(head.statusCode ?? 0, headers);
  }
}
