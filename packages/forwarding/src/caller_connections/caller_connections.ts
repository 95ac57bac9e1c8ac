/**
 * The connections that callers have open to a gateway.
 */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import type {Clock} from '@briarpin/coordination';

/** What a gateway knows of a connection. */
interface ConnectionState {
  readonly openedAt: number;
  requestCount: number;
  /** Newest request, until its response has been sent. */
  newest?: ConnectionPosition;
}

/** A request's place on its connection. */
export interface ConnectionPosition {
  /** Number of requests on the connection so far, with this one. */
  readonly requestCount: number;
  /** Time since the connection was opened. */
  readonly ageMilliseconds: number;
  readonly response: ServerResponse;
  /** The request before, if its response had not been sent yet. */
  readonly earlier?: ConnectionPosition;
  /** True once another request has been read on the connection. */
  isFollowed: boolean;
}

/** Tracks the open connections of callers. */
export class CallerConnections {
  private readonly states = new Map<Socket, ConnectionState>();

  /**
   * @param clock - Monotonic clock
   */
  constructor(private readonly clock: Pick<Clock, 'now'>) {}

  /** Number of open connections. */
  get count(): number {
    return this.states.size;
  }

  /** Records a connection until it closes. */
  add(socket: Socket): void {
    this.states.set(socket, this.createState());
    socket.once('close', () => this.states.delete(socket));
  }

  /** Records a request and returns its place on its connection. */
  recordRequest(socket: Socket, response: ServerResponse): ConnectionPosition {
    const state = this.states.get(socket) ?? this.createState();
    const earlier = state.newest;
    if (earlier !== undefined) {
      earlier.isFollowed = true;
    }
    state.requestCount += 1;
    const position = {
      requestCount: state.requestCount,
      ageMilliseconds: this.clock.now() - state.openedAt,
      response,
      earlier,
      isFollowed: false,
    };
    state.newest = position;
    response.once('close', () => {
      if (state.newest === position) {
        state.newest = undefined;
      }
    });
    return position;
  }

  /** Returns whether a response has bytes that are not sent yet. */
  get hasUnsentBytes(): boolean {
    return [...this.states.keys()].some(socket => socket.writableLength > 0);
  }

  /**
   * Returns whether a connection is so new that its first request may be on its
   * way.
   *
   * @param newMilliseconds - Age up to which a connection is new
   */
  hasNew(newMilliseconds: number): boolean {
    const openedBefore = this.clock.now() - newMilliseconds;
    return [...this.states.values()].some(
      ({requestCount, openedAt}) =>
        requestCount === 0 && openedAt > openedBefore,
    );
  }

  /** Closes the connections that have carried no byte of a request. */
  closeUnused(): void {
    for (const socket of this.states.keys()) {
      if (socket.bytesRead === 0) {
        socket.destroy();
      }
    }
  }

  /**
   * Sends a response on each connection without a request, and closes it. Only
   * requests that have arrived in part may be on them.
   *
   * @param bytes - Head and body of the response
   */
  answerPartialRequests(bytes: string): void {
    for (const [socket, {newest}] of this.states) {
      if (newest === undefined) {
        socket.end(bytes);
      }
    }
  }

  private createState(): ConnectionState {
    return {openedAt: this.clock.now(), requestCount: 0};
  }
}
