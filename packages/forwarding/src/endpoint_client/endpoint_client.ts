/**
 * Sending one attempt to an endpoint.
 */
import http from 'node:http';
import type net from 'node:net';

import type {EndpointEntry} from '@briarpin/coordination';

import type {AnswerFacts, Dialect} from '../dialect/dialect.js';
import {
  PreconnectingAgent,
  type ConnectionTarget,
} from '../preconnecting_agent/preconnecting_agent.js';

/**
 * Time to establish a connection: many times the round trip between two
 * regions, and a fraction of the shortest deadlines.
 */
const CONNECT_TIMEOUT_MILLISECONDS = 400;

/** Time after which an idle connection to an endpoint is closed. */
const IDLE_TIMEOUT_MILLISECONDS = 2_000;

/** Largest body of an answer that is gathered before it is passed on. */
const MAXIMUM_GATHERED_BYTES = 4_194_304;

/** Largest head of an answer. */
const MAXIMUM_HEAD_BYTES = 65_536;

/**
 * Statuses that promise a caller that its request has not run; an endpoint
 * that gives one without stating so is not believed.
 */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** One attempt. */
export interface Attempt {
  readonly endpoint: EndpointEntry;
  readonly method: string;
  readonly path: string;
  /** Names and values by turns. */
  readonly headers: string[];
  readonly body: Buffer;
  /** Identity that the answer must bear. */
  readonly requestId?: string;
  /** True when a connection that served other requests may be used. */
  readonly mayReuseConnection: boolean;
  readonly signal: AbortSignal;
}

/** What became of an attempt. */
export type AttemptResult =
  /** The endpoint began to answer this request. */
  | {
      readonly kind: 'answered';
      readonly response: http.IncomingMessage;
      readonly facts: AnswerFacts;
      /** True once the whole body has come; asked when it has ended. */
      readonly isWhole: () => boolean;
    }
  /** The endpoint says that it has not run the request. */
  | {
      readonly kind: 'refused';
      readonly status: number;
      readonly facts: AnswerFacts;
    }
  /** Nothing of the request left this process. */
  | {readonly kind: 'not_sent'; readonly reason: string}
  /** The request was sent, and there is no answer to it. */
  | {readonly kind: 'unknown'; readonly reason: string};

/**
 * An agent whose idle connections end when bytes arrive on them: such bytes
 * belong to no request.
 */
class GuardedAgent extends http.Agent {
  private readonly guards = new WeakMap<net.Socket, () => void>();

  keepSocketAlive(socket: net.Socket): boolean {
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (isKept) {
      const guard = () => socket.destroy();
      this.guards.set(socket, guard);
      socket.on('data', guard);
    }
    return isKept;
  }

  reuseSocket(socket: net.Socket, request: http.ClientRequest): void {
    const guard = this.guards.get(socket);
    if (guard !== undefined) {
      socket.removeListener('data', guard);
    }
    super.reuseSocket(socket, request);
  }
}

/** Sends attempts and keeps the connections for it. */
export class EndpointClient {
  private readonly pooled = new GuardedAgent({
    keepAlive: true,
    timeout: IDLE_TIMEOUT_MILLISECONDS,
  });
  /** A connection for each request. */
  private readonly single = new PreconnectingAgent();

  /**
   * @param dialect - Reads what endpoints say
   */
  constructor(private readonly dialect: Dialect) {}

  /**
   * Sends an attempt and waits for the head of its answer.
   *
   * @param attempt - What to send, and where
   * @returns What became of it
   */
  send(attempt: Attempt): Promise<AttemptResult> {
    return new Promise(resolve => {
      const progress = {isConnected: false};
      const fail = (error: Error) => {
        const reason = error.message;
        resolve(
          progress.isConnected
            ? {kind: 'unknown', reason}
            : {kind: 'not_sent', reason},
        );
      };
      const request = this.createRequest(attempt, fail);
      if (request === undefined) {
        return;
      }
      watchConnection(request, progress);
      request.on('error', fail);
      request.on('response', response => {
        resolve(this.judge(attempt, request, response));
      });
      request.end(attempt.body);
    });
  }

  /** Opens a connection for a request that will need one of its own. */
  prepare(target: ConnectionTarget): void {
    this.single.preconnect(target);
  }

  /** Closes idle connections. */
  close(): void {
    this.pooled.destroy();
    this.single.destroy();
  }

  private createRequest(
    attempt: Attempt,
    fail: (error: Error) => void,
  ): http.ClientRequest | undefined {
    const {endpoint, method, path, headers, signal} = attempt;
    if (signal.aborted) {
      fail(new Error('given up before it was sent'));
      return undefined;
    }
    try {
      return http.request({
        host: endpoint.host,
        port: endpoint.port,
        method,
        path,
        headers: headers as unknown as http.OutgoingHttpHeaders,
        agent: attempt.mayReuseConnection ? this.pooled : this.single,
        maxHeaderSize: MAXIMUM_HEAD_BYTES,
        signal,
      });
    } catch (error) {
      fail(error as Error);
      return undefined;
    }
  }

  private judge(
    attempt: Attempt,
    request: http.ClientRequest,
    response: http.IncomingMessage,
  ): AttemptResult {
    const facts = this.dialect.readAnswer(response);
    const status = response.statusCode ?? 0;
    response.on('error', () => undefined);
    const isOurs =
      facts.requestId === undefined
        ? facts.isNotRun
        : facts.requestId === attempt.requestId;
    if (!isOurs && attempt.requestId !== undefined) {
      request.destroy();
      return {kind: 'unknown', reason: 'an answer to another request'};
    }
    if (facts.isNotRun) {
      response.resume();
      return {kind: 'refused', status, facts};
    }
    if (NOT_RUN_STATUSES.includes(status)) {
      request.destroy();
      return {kind: 'unknown', reason: `status ${status} without a promise`};
    }
    const isWhole = watchWholeness(response);
    return {kind: 'answered', response, facts, isWhole};
  }
}

/**
 * Watches whether an answer comes whole. A body without a length ends with
 * its connection, and a reset shows as such an end, too: the event loop reports
 * the end of the stream when the reset came together with the last bytes. Only
 * a connection that was closed in order still has a peer at that moment.
 */
function watchWholeness(response: http.IncomingMessage): () => boolean {
  const {headers, socket} = response;
  const hasOwnEnd =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  if (hasOwnEnd) {
    return () => response.complete;
  }
  let isClosedInOrder = false;
  // Before the client's own listener, which closes the socket.
  socket.prependOnceListener('end', () => {
    isClosedInOrder = socket.remotePort !== undefined;
  });
  socket.once('error', () => (isClosedInOrder = false));
  return () => response.complete && isClosedInOrder;
}

/** Notes when bytes can leave, and gives up on a silent peer. */
function watchConnection(
  request: http.ClientRequest,
  progress: {isConnected: boolean},
): void {
  request.on('socket', socket => {
    socket.setNoDelay(true);
    if (!socket.connecting) {
      progress.isConnected = true;
      return;
    }
    const timer = setTimeout(() => {
      request.destroy(new Error('no connection in time'));
    }, CONNECT_TIMEOUT_MILLISECONDS);
    socket.once('connect', () => {
      clearTimeout(timer);
      progress.isConnected = true;
    });
    socket.once('close', () => clearTimeout(timer));
  });
}

/** A whole body, or why it is not whole. */
export type GatheredBody =
  | {readonly kind: 'whole'; readonly body: Buffer}
  | {readonly kind: 'broken'; readonly reason: string};

/**
 * Reads the body of an answer to its end.
 *
 * @param answer - Answer whose head was read
 * @returns The body; broken when the endpoint broke it off
 */
export function gatherBody({
  response,
  isWhole,
}: AttemptResult & {kind: 'answered'}): Promise<GatheredBody> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    const finish = (reason?: string) => {
      resolve(
        reason === undefined && isWhole()
          ? {kind: 'whole', body: Buffer.concat(chunks)}
          : {kind: 'broken', reason: reason ?? 'the answer broke off'},
      );
    };
    response.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      size += chunk.length;
      if (size > MAXIMUM_GATHERED_BYTES) {
        finish('the answer is too large');
        response.destroy();
      }
    });
    response.on('end', () => finish());
    response.on('error', error => finish(error.message));
    response.on('close', () => finish('the connection closed'));
  });
}
