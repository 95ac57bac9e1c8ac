/**
 * The gateway that forwards requests by route, unchanged.
 */
import http from 'node:http';
import type {AddressInfo} from 'node:net';

import type {CallerLimits} from '@briarpin/coordination';
import type {EndpointWork} from '@briarpin/messages';
import {runTask} from '@briarpin/telemetry';

import {
  admitRequest,
  type Admission,
  type AdmissionBounds,
  type Knowledge,
} from '../admit_request/admit_request.js';
import {Evacuator} from '../evacuator/evacuator.js';
import type {RequestFacts} from '../dialect/dialect.js';
import type {
  Exchange,
  ExchangeEnd,
  ForwardingParts,
} from '../exchange/exchange.js';
import {forwardCall} from '../forward_call/forward_call.js';
import {
  sendOwnAnswer,
  toStatus,
  type OwnAnswer,
} from '../own_answers/own_answers.js';
import {readBody} from '../read_body/read_body.js';
import {recordExchange} from '../record_exchange/record_exchange.js';
import {StreamSession} from '../stream_session/stream_session.js';

/** Largest head of a request; operators bound it further. */
const MAXIMUM_HEAD_BYTES = 65_536;

/** Largest body of a request until operators have said so. */
const DEFAULT_MAXIMUM_BODY_BYTES = 1_048_576;

/** How often connections are checked for timeouts. */
const CONNECTION_CHECK_MILLISECONDS = 1_000;

/** How often open requests are counted while the gateway stops. */
const DRAIN_POLL_MILLISECONDS = 20;

/** When a caller may come back that meets a gateway that stops. */
const LEAVING_RETRY_MILLISECONDS = 50;

/** Options of {@link ForwardingGateway}. */
export interface ForwardingGatewayOptions {
  /** What is in force, and how old that knowledge is. */
  readonly knowledge: () => Knowledge;
  readonly bounds: AdmissionBounds;
}

/** Serves callers. */
export class ForwardingGateway {
  private readonly server: http.Server;
  private readonly sessions = new Set<StreamSession>();
  /** Moves streams off endpoints that leave. */
  readonly evacuator: Evacuator;
  private open = 0;
  private maximumBodyBytes = DEFAULT_MAXIMUM_BODY_BYTES;

  /**
   * @param parts - What handlers of requests use
   * @param options - What is in force
   */
  constructor(
    private readonly parts: ForwardingParts,
    private readonly options: ForwardingGatewayOptions,
  ) {
    this.evacuator = new Evacuator(this.sessions, parts);
    this.server = http.createServer(
      {
        maxHeaderSize: MAXIMUM_HEAD_BYTES,
        requestTimeout: 0,
        connectionsCheckingInterval: CONNECTION_CHECK_MILLISECONDS,
      },
      (request, response) => this.accept(request, response),
    );
  }

  /** Requests that are open. */
  get openRequests(): number {
    return this.open;
  }

  /**
   * Starts to listen.
   *
   * @returns The port
   * @throws Error when the address cannot be bound
   */
  listen({host, port}: {host: string; port: number}): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Puts bounds on callers in force. */
  applyLimits(limits: CallerLimits): void {
    this.maximumBodyBytes = limits.maximumBodyBytes;
    this.server.headersTimeout = limits.headerTimeoutMilliseconds;
    this.server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
  }

  /** Work of this gateway by endpoint, for the other gateways. */
  readWork(): EndpointWork[] {
    const movable = this.evacuator.countMovableRuns();
    return [...this.parts.loads.localWork].map(([endpoint, work]) => ({
      endpoint,
      requests: work.requests,
      tokens: Math.round(work.tokens),
      promptTokens: Math.round(work.promptTokens),
      movableRuns: movable.get(endpoint) ?? 0,
    }));
  }

  /** Takes no more connections; those that are idle end. */
  stopListening(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Waits until no request is open, or a time is over. */
  async finish(timeoutMilliseconds: number): Promise<void> {
    const {clock} = this.parts;
    const end = clock.now() + timeoutMilliseconds;
    while (this.open > 0 && clock.now() < end) {
      await clock.sleep(DRAIN_POLL_MILLISECONDS);
    }
  }

  /** Ends every connection. */
  close(): void {
    this.server.closeAllConnections();
    this.parts.client.close();
  }

  private accept(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const {logger} = this.parts;
    request.on('error', error =>
      logger.debug('caller_connection', {message: error.message}),
    );
    response.on('error', error =>
      logger.debug('caller_connection', {message: error.message}),
    );
    this.open += 1;
    response.once('close', () => (this.open -= 1));
    runTask('request', logger, () => this.serve(request, response));
  }

  private async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const {parts} = this;
    const arrivedAt = parts.clock.now();
    const facts = parts.dialect.readRequest(request.headers);
    const admission = this.admit(request, facts);
    if (admission.kind === 'answered') {
      this.refuse(response, facts, admission.answer);
      return;
    }
    const read = await readBody(request, this.maximumBodyBytes);
    if (read.kind !== 'whole') {
      if (read.kind === 'too_large') {
        const reason = 'the body is larger than operators allow';
        this.refuse(response, facts, {kind: 'rejected', status: 413, reason});
      }
      return;
    }
    const {body} = read;
    const exchange = this.createExchange(
      {request, response, facts, body, arrivedAt},
      admission,
    );
    const end = await this.forward(exchange);
    recordExchange(exchange, end, this.parts, this.options.knowledge());
  }

  private admit(request: http.IncomingMessage, facts: RequestFacts): Admission {
    const {options, parts} = this;
    const url = request.url ?? '';
    const queryAt = url.indexOf('?');
    const admission = admitRequest(
      {
        host: request.headers.host ?? '',
        path: queryAt === -1 ? url : url.slice(0, queryAt),
        apiKey: facts.apiKey,
      },
      options.knowledge(),
      options.bounds,
      parts.random,
    );
    if (
      admission.kind === 'admitted' &&
      admission.route.isStream &&
      parts.isLeaving()
    ) {
      const reason = 'the gateway stops before a stream would end';
      const retryAfterMilliseconds = LEAVING_RETRY_MILLISECONDS;
      const answer: OwnAnswer = {
        kind: 'not_run',
        reason,
        retryAfterMilliseconds,
      };
      return {kind: 'answered', answer};
    }
    return admission;
  }

  private createExchange(
    taken: Pick<
      Exchange,
      'request' | 'response' | 'facts' | 'body' | 'arrivedAt'
    >,
    {route, service, organisation}: Admission & {kind: 'admitted'},
  ): Exchange {
    const {clock} = this.parts;
    const allowed = Math.min(
      route.timeoutMilliseconds,
      taken.facts.deadlineMilliseconds ?? Number.POSITIVE_INFINITY,
    );
    const expiresAt = taken.arrivedAt + allowed;
    const controller = new AbortController();
    const timer = setTimeout(
      () => controller.abort(),
      Math.max(0, expiresAt - clock.now()),
    );
    taken.response.once('close', () => {
      clearTimeout(timer);
      controller.abort();
    });
    const {signal} = controller;
    return {
      ...taken,
      route,
      service,
      organisation,
      expiresAt,
      signal,
      tried: [],
    };
  }

  private async forward(exchange: Exchange): Promise<ExchangeEnd> {
    if (!exchange.route.isStream) {
      return forwardCall(exchange, this.parts);
    }
    const session = new StreamSession(exchange, this.parts);
    this.sessions.add(session);
    try {
      return await session.run();
    } finally {
      this.sessions.delete(session);
    }
  }

  private refuse(
    response: http.ServerResponse,
    facts: RequestFacts,
    answer: OwnAnswer,
  ): void {
    const {parts} = this;
    parts.metrics.countRequest(answer.kind, toStatus(answer));
    parts.logger.info('refused', {
      request: facts.requestId,
      kind: answer.kind,
      reason: answer.reason,
      age: Math.round(this.options.knowledge().ageMilliseconds),
    });
    sendOwnAnswer(response, answer, {
      dialect: parts.dialect,
      closeConnection: answer.kind === 'not_run' || parts.isLeaving(),
    });
  }
}
