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
  /** Bytes that were read when the newest response had been sent. */
  answeredBytes: number;
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
        state.answeredBytes = socket.bytesRead;
      }
    });
    return position;
  }

  /**
   * Returns whether a request may still arrive on a connection: one has arrived
   * in part, or a connection is so new that its first one is on its way.
   *
   * @param newMilliseconds - Age up to which a connection is new
   */
  expectsRequests(newMilliseconds: number): boolean {
    const openedBefore = this.clock.now() - newMilliseconds;
    return [...this.states].some(([socket, state]) => {
      const isNew = state.requestCount === 0 && state.openedAt > openedBefore;
      return isNew || !isIdle(socket, state);
    });
  }

  /** Closes the connections on which no request has begun to arrive. */
  closeIdle(): void {
    for (const [socket, state] of this.states) {
      if (isIdle(socket, state)) {
        socket.destroy();
      }
    }
  }

  /**
   * Sends a response on each connection whose request has arrived in part, and
   * closes it.
   *
   * @param bytes - Head and body of the response
   */
  answerPartialRequests(bytes: string): void {
    for (const [socket, state] of this.states) {
      const {newest, answeredBytes} = state;
      if (newest === undefined && socket.bytesRead !== answeredBytes) {
        socket.end(bytes);
      }
    }
  }

  private createState(): ConnectionState {
    return {openedAt: this.clock.now(), requestCount: 0, answeredBytes: 0};
  }
}

function isIdle(
  {bytesRead, writableLength}: Socket,
  {newest, answeredBytes}: ConnectionState,
): boolean {
  const isAnswered = newest === undefined && writableLength === 0;
  return isAnswered && bytesRead === answeredBytes;
}
