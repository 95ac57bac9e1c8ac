/**
 * A request that a gateway has begun to read and has not answered yet.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import type {ConnectionPosition} from '../caller_connections/caller_connections.js';
import type {RequestMetadata} from '../dialect/dialect.js';

/** What a gateway knows of a request when its headers have been read. */
export interface OpenRequestOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly metadata: RequestMetadata;
  /** Arrival time in milliseconds of the gateway's clock. */
  readonly arrivedAt: number;
  readonly connectionPosition: ConnectionPosition;
}

/** A request in progress, which ends when its response has been sent. */
export class OpenRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly metadata: RequestMetadata;
  readonly arrivedAt: number;
  readonly connectionPosition: ConnectionPosition;
  /**
   * Aborted when the caller disconnects, the time of the request is over, or
   * the gateway is about to end.
   */
  readonly controller = new AbortController();

  /**
   * @param options - The request and its place on its connection
   */
  constructor(options: OpenRequestOptions) {
    this.request = options.request;
    this.response = options.response;
    this.metadata = options.metadata;
    this.arrivedAt = options.arrivedAt;
    this.connectionPosition = options.connectionPosition;
    this.response.once('close', () => this.controller.abort());
  }

  /** Has the request answered now, unless its response has begun. */
  interrupt(): void {
    if (!this.response.headersSent) {
      this.controller.abort();
    }
  }

  /**
   * Waits until the requests before it on its connection are answered.
   *
   * @returns False if the connection closes before this request's turn
   */
  async waitForTurn(): Promise<boolean> {
    const {earlierResponse} = this.connectionPosition;
    if (earlierResponse !== undefined && !earlierResponse.closed) {
      await new Promise(resolve => earlierResponse.once('close', resolve));
    }
    const isLast = earlierResponse?.shouldKeepAlive === false;
    return !isLast && !this.response.destroyed;
  }
}
