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
  /** Response to the newest request. */
  response?: ServerResponse;
  /** Bytes that were read when the newest response had been sent. */
  answeredBytes: number;
}

/** A request's place on its connection. */
export interface ConnectionPosition {
  /** Number of requests on the connection so far, with this one. */
  readonly requestCount: number;
  /** Time since the connection was opened. */
  readonly ageMilliseconds: number;
  /** Response to the request before; absent when it has been sent. */
  readonly earlierResponse?: ServerResponse;
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
    const earlierResponse = state.response;
    state.requestCount += 1;
    state.response = response;
    response.once('close', () => {
      if (state.response === response) {
        state.response = undefined;
        state.answeredBytes = socket.bytesRead;
      }
    });
    return {
      requestCount: state.requestCount,
      ageMilliseconds: this.clock.now() - state.openedAt,
      earlierResponse,
    };
  }

  /**
   * Closes the connections on which no request has begun to arrive.
   *
   * @param minimumAgeMilliseconds - Least age of a connection that has carried
   *   no request yet
   */
  closeIdle(minimumAgeMilliseconds: number): void {
    const openedBefore = this.clock.now() - minimumAgeMilliseconds;
    for (const [socket, state] of this.states) {
      const isNew = state.requestCount === 0 && state.openedAt > openedBefore;
      if (isIdle(socket, state) && !isNew) {
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
      if (state.response === undefined && !isIdle(socket, state)) {
        socket.end(bytes);
      }
    }
  }

  private createState(): ConnectionState {
    return {openedAt: this.clock.now(), requestCount: 0, answeredBytes: 0};
  }
}

function isIdle(
  {bytesRead}: Socket,
  {response, answeredBytes}: ConnectionState,
): boolean {
  return response === undefined && bytesRead === answeredBytes;
}
