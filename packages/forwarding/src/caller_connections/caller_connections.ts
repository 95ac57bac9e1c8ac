/**
 * The connections that callers have open to a gateway.
 */
import type {Socket} from 'node:net';

import type {Clock} from '@briarpin/coordination';

/** What a gateway knows of a connection. */
interface ConnectionState {
  readonly openedAt: number;
  requestCount: number;
}

/** A request's place on its connection. */
export interface ConnectionPosition {
  /** Number of requests on the connection so far, with this one. */
  readonly requestCount: number;
  /** Time since the connection was opened. */
  readonly ageMilliseconds: number;
}

/** Tracks the open connections of callers. */
export class CallerConnections {
  private readonly states = new Map<Socket, ConnectionState>();

  /**
   * @param clock - Monotonic clock
   */
  constructor(private readonly clock: Pick<Clock, 'now'>) {}

  /** Records a connection until it closes. */
  add(socket: Socket): void {
    this.states.set(socket, {openedAt: this.clock.now(), requestCount: 0});
    socket.once('close', () => this.states.delete(socket));
  }

  /** Records a request and returns its place on its connection. */
  recordRequest(socket: Socket): ConnectionPosition {
    const now = this.clock.now();
    const state = this.states.get(socket) ?? {openedAt: now, requestCount: 0};
    state.requestCount += 1;
    return {
      requestCount: state.requestCount,
      ageMilliseconds: now - state.openedAt,
    };
  }
}
