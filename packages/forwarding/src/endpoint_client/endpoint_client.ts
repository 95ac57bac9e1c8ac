/**
 * HTTP client that sends single attempts to endpoints.
 */
import http from 'node:http';

import type {EndpointEntry} from '@briarpin/coordination';
import {
  confirmResponseEnd,
  GuardedAgent,
  trackResponseEnd,
  trackResponseHead,
  type BodyFraming,
} from '@briarpin/platform';

import {discardBody} from '../discard_body/discard_body.js';
import type {EndpointLimits} from '../endpoint_limits/endpoint_limits.js';
import type {ResponseMetadata, Dialect} from '../dialect/dialect.js';
import {
  PreconnectingAgent,
  type ConnectionTarget,
} from '../preconnecting_agent/preconnecting_agent.js';

/**
 * Timeout of connection establishment: many times the round trip between two
 * regions, and a fraction of the shortest deadlines.
 */
const CONNECT_TIMEOUT_MILLISECONDS = 400;

/** Time after which an idle connection to an endpoint is closed. */
const IDLE_TIMEOUT_MILLISECONDS = 2_000;

/** Limit of the status line and headers of a response. */
const MAXIMUM_HEADER_BYTES = 65_536;

/**
 * Statuses that usually mean that a request did not run. Without an explicit
 * header of the endpoint to that effect they do not prove it, and the outcome
 * counts as unknown.
 */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** One try of a request at one endpoint. */
export interface Attempt {
  readonly endpoint: EndpointEntry;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer;
  /** Identifier that the response must repeat. */
  readonly requestId?: string;
  /** True when the attempt may use a pooled connection. */
  readonly mayReuseConnection: boolean;
  readonly signal: AbortSignal;
}

/** Outcome of an attempt. */
export type AttemptResult =
  /** The endpoint has sent the head of a response to this request. */
  | {
      readonly kind: 'answered';
      readonly response: http.IncomingMessage;
      readonly metadata: ResponseMetadata;
      readonly framing: BodyFraming;
      /** Finds out, after the last byte of the body, whether it is complete. */
      readonly confirmEnd: () => Promise<boolean>;
    }
  /** The endpoint states that it did not run the request. */
  | {
      readonly kind: 'refused';
      readonly status: number;
      readonly metadata: ResponseMetadata;
    }
  /** No byte of the request left this process. */
  | {readonly kind: 'not_sent'; readonly reason: string}
  /** The request was sent and got no usable response. */
  | {readonly kind: 'unknown'; readonly reason: string};

/** Callbacks of {@link EndpointClient}. */
export interface EndpointClientCallbacks {
  /** Finds out whether an endpoint has ended. */
  readonly hasEnded: (endpoint: EndpointEntry) => Promise<boolean>;
  /** Called for each response that states that its endpoint shuts down. */
  readonly onLeaving: (endpoint: EndpointEntry) => void;
  /** Called when nothing listens at the address of an endpoint. */
  readonly onRefused: (endpoint: EndpointEntry) => void;
  /** Called for each attempt that is sent. */
  readonly onSend: (endpoint: EndpointEntry) => void;
}

/** Sends attempts and manages the connections for them. */
export class EndpointClient {
  private readonly pooledAgent = new GuardedAgent({
    keepAlive: true,
    timeout: IDLE_TIMEOUT_MILLISECONDS,
  });
  /** Opens a new connection for each request. */
  private readonly singleUseAgent = new PreconnectingAgent();

  /**
   * @param dialect - Parses the headers of responses
   * @param limits - Counts requests, and receives the limit that each response
   *   states
   * @param callbacks - What else depends on responses
   */
  constructor(
    private readonly dialect: Dialect,
    private readonly limits: EndpointLimits,
    private readonly callbacks: EndpointClientCallbacks,
  ) {}

  /**
   * Sends an attempt and waits for the head of its response.
   *
   * @param attempt - Request and endpoint
   * @returns The outcome; the promise is never rejected
   */
  send(attempt: Attempt): Promise<AttemptResult> {
    return new Promise(resolve => {
      const progress = {isConnected: false};
      const fail = (error: NodeJS.ErrnoException) => {
        if (error.code === 'ECONNREFUSED') {
          this.callbacks.onRefused(attempt.endpoint);
        }
        const reason = describeFailure(error, attempt.signal);
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
      this.limits.recordRequest(attempt.endpoint.id);
      this.callbacks.onSend(attempt.endpoint);
      const head = trackResponseHead(request);
      trackConnection(request, progress, () => this.isPaused(attempt));
      request.on('error', fail);
      request.on('response', response => {
        if (head.fault !== undefined) {
          // What such a response says of its endpoint is not believed either.
          request.destroy(new Error(head.fault));
          return;
        }
        resolve(this.classifyResponse(attempt, request, response));
      });
      // An exchange may end with neither, as after an unexpected upgrade.
      request.on('close', () =>
        fail(new Error('the exchange ended without a response')),
      );
      request.end(attempt.body);
    });
  }

  /** Opens a connection ahead of a request that must not reuse one. */
  preconnect(target: ConnectionTarget): void {
    this.singleUseAgent.preconnect(target);
  }

  /** Closes the connections to endpoints. */
  close(): void {
    this.pooledAgent.destroy();
    this.singleUseAgent.destroy();
  }

  private isPaused({endpoint}: Attempt): boolean {
    return this.limits.computePauseMilliseconds(endpoint.id) > 0;
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
        agent: attempt.mayReuseConnection
          ? this.pooledAgent
          : this.singleUseAgent,
        maxHeaderSize: MAXIMUM_HEADER_BYTES,
        signal,
      });
    } catch (error) {
      fail(error as Error);
      return undefined;
    }
  }

  private classifyResponse(
    attempt: Attempt,
    request: http.ClientRequest,
    response: http.IncomingMessage,
  ): AttemptResult {
    const metadata = this.dialect.readResponse(response);
    const status = response.statusCode ?? 0;
    response.on('error', () => undefined);
    // On a used connection, a refusal that names no request may be a repetition
    // of an earlier one.
    const matchesRequest =
      metadata.requestId === undefined
        ? metadata.isNotRun && !request.reusedSocket
        : metadata.requestId === attempt.requestId;
    if (!matchesRequest && attempt.requestId !== undefined) {
      request.destroy();
      return {kind: 'unknown', reason: 'an answer to another request'};
    }
    if (metadata.isLeaving) {
      this.callbacks.onLeaving(attempt.endpoint);
    }
    if (metadata.pauseMilliseconds !== undefined) {
      this.limits.recordPause(attempt.endpoint.id, metadata.pauseMilliseconds);
    }
    if (metadata.isSigned || metadata.isNotRun) {
      this.limits.recordResponse(
        attempt.endpoint.id,
        metadata.requestsPerSecond,
      );
    }
    if (metadata.isNotRun) {
      discardBody(response);
      return {kind: 'refused', status, metadata};
    }
    if (NOT_RUN_STATUSES.includes(status)) {
      request.destroy();
      return {kind: 'unknown', reason: `status ${status} without a promise`};
    }
    const end = trackResponseEnd(response);
    return {
      kind: 'answered',
      response,
      metadata,
      framing: end.framing,
      confirmEnd: () =>
        confirmResponseEnd(end, () =>
          this.callbacks.hasEnded(attempt.endpoint),
        ),
    };
  }
}

/** Returns why an attempt failed; an aborted one has the reason of its end. */
function describeFailure(error: Error, {aborted, reason}: AbortSignal): string {
  return aborted && reason instanceof Error ? reason.message : error.message;
}

/**
 * Records when a connection is established, and enforces its timeout. Nothing is
 * sent on it if the endpoint has asked for a pause meanwhile.
 */
function trackConnection(
  request: http.ClientRequest,
  progress: {isConnected: boolean},
  isPaused: () => boolean,
): void {
  const beforeSending = () => {
    if (isPaused()) {
      request.destroy(new Error('the endpoint asked for a pause'));
      return;
    }
    progress.isConnected = true;
  };
  request.on('socket', socket => {
    socket.setNoDelay(true);
    if (!socket.connecting) {
      beforeSending();
      return;
    }
    const timer = setTimeout(() => {
      request.destroy(new Error('no connection in time'));
    }, CONNECT_TIMEOUT_MILLISECONDS);
    socket.once('connect', () => {
      clearTimeout(timer);
      beforeSending();
    });
    socket.once('close', () => clearTimeout(timer));
  });
}
