/**
 * HTTP gateway that forwards requests unchanged, according to their routes.
 */
import http from 'node:http';
import type {AddressInfo} from 'node:net';

import type {CallerLimits} from '@briarpin/coordination';
import type {EndpointWork} from '@briarpin/messages';
import {decideLastRequest} from '@briarpin/scheduling';
import {runTask} from '@briarpin/telemetry';

import {
  admitRequest,
  type Admission,
  type AdmissionBounds,
  type ConfigurationSnapshot,
} from '../admit_request/admit_request.js';
import {CallerConnections} from '../caller_connections/caller_connections.js';
import {createExchange} from '../create_exchange/create_exchange.js';
import {describeConnection} from '../describe_connection/describe_connection.js';
import {Evacuator} from '../evacuator/evacuator.js';
import type {RequestMetadata} from '../dialect/dialect.js';
import {
  failExchange,
  type Exchange,
  type ExchangeResult,
  type ForwardingContext,
} from '../exchange/exchange.js';
import {forwardCall} from '../forward_call/forward_call.js';
import {
  sendErrorResponse,
  getHttpStatus,
  type ErrorResponse,
} from '../error_response/error_response.js';
import {OpenRequest} from '../open_request/open_request.js';
import {readBody} from '../read_body/read_body.js';
import {recordExchange} from '../record_exchange/record_exchange.js';
import {resolveStreamOrigin} from '../resolve_stream_origin/resolve_stream_origin.js';
import {StreamSession} from '../stream_session/stream_session.js';

/**
 * Limit of the request line and headers. The limit in the configuration is not
 * applied.
 */
const MAXIMUM_HEADER_BYTES = 65_536;

/** Limit of a request body until a configuration sets one. */
const DEFAULT_MAXIMUM_BODY_BYTES = 1_048_576;

/** Interval at which connections are checked for timeouts. */
const CONNECTION_CHECK_MILLISECONDS = 1_000;

/**
 * Age up to which a connection that has carried no request stays open when the
 * gateway stops, as its first request may be on its way.
 */
const NEW_CONNECTION_MILLISECONDS = 1_000;

/** Time from the end of a process until its successor serves. */
const RESTART_MILLISECONDS = 1_500;

/** Options of {@link ForwardingGateway}. */
export interface ForwardingGatewayOptions {
  /** Returns the current configuration and its age. */
  readonly configurationSnapshot: () => ConfigurationSnapshot;
  readonly bounds: AdmissionBounds;
}

/** Accepts requests of callers and forwards them to endpoints. */
export class ForwardingGateway {
  private readonly server: http.Server;
  private readonly sessions = new Set<StreamSession>();
  /** Moves streams off endpoints that are shutting down. */
  readonly evacuator: Evacuator;
  private readonly open = new Set<OpenRequest>();
  private readonly connections: CallerConnections;
  private maximumBodyBytes = DEFAULT_MAXIMUM_BODY_BYTES;

  /**
   * @param context - Services shared by the request handlers
   * @param options - Configuration in force and limits of its age
   */
  constructor(
    private readonly context: ForwardingContext,
    private readonly options: ForwardingGatewayOptions,
  ) {
    this.connections = new CallerConnections(context.clock);
    this.evacuator = new Evacuator(this.sessions, context);
    this.server = http.createServer(
      {
        maxHeaderSize: MAXIMUM_HEADER_BYTES,
        requestTimeout: 0,
        connectionsCheckingInterval: CONNECTION_CHECK_MILLISECONDS,
      },
      (request, response) => this.handleRequest(request, response),
    );
    this.server.on('connection', socket => this.connections.add(socket));
  }

  /** Number of requests in progress. */
  get openRequests(): number {
    return this.open.size;
  }

  /**
   * Starts listening.
   *
   * @returns The port, which the system chooses if `port` is 0
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

  /** Applies the body size limit and the timeouts of caller connections. */
  applyLimits(limits: CallerLimits): void {
    this.maximumBodyBytes = limits.maximumBodyBytes;
    this.server.headersTimeout = limits.headerTimeoutMilliseconds;
    this.server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
  }

  /** Returns this gateway's work by endpoint, to send to other gateways. */
  readWork(): EndpointWork[] {
    const movable = this.evacuator.countMovableRuns();
    return [...this.context.loads.localWork].map(([endpoint, work]) => ({
      endpoint,
      requests: work.requests,
      tokens: Math.round(work.tokens),
      promptTokens: Math.round(work.promptTokens),
      movableRuns: movable.get(endpoint) ?? 0,
    }));
  }

  /**
   * Computes when this gateway serves again that stops; a gateway with streams
   * stops at the end of its time.
   *
   * @returns Milliseconds; undefined while it serves
   */
  computeReturnMilliseconds(): number | undefined {
    const {shutdown} = this.context;
    if (!shutdown.hasBegun) {
      return undefined;
    }
    const endMilliseconds =
      this.sessions.size > 0
        ? shutdown.remainingMilliseconds
        : shutdown.remainingDeregistrationMilliseconds;
    return Math.max(0, endMilliseconds) + RESTART_MILLISECONDS;
  }

  /**
   * Shuts down: serves callers until the platform has deregistered the instance,
   * and then, as long as callers are still sent here, up to the time at which
   * the requests that are left have to be answered.
   *
   * @returns Resolves when no connection is open or the time is over
   */
  async drain(): Promise<void> {
    const {shutdown} = this.context;
    await shutdown.waitUntil(
      () => shutdown.remainingDeregistrationMilliseconds,
    );
    const isUnused = () => this.closeUnusedConnections();
    await shutdown.waitUntil(
      () => shutdown.remainingListeningMilliseconds,
      isUnused,
    );
    this.server.close();
    await shutdown.waitUntil(
      () => shutdown.remainingAnswerMilliseconds,
      isUnused,
    );
    await this.answerOpenRequests();
  }

  /** Answers all requests that have no answer yet, and sends the answers. */
  private async answerOpenRequests(): Promise<void> {
    const {shutdown} = this.context;
    this.connections.closeIdle(0);
    this.connections.answerPartialRequests(this.formatPartialResponse());
    this.open.forEach(open => open.interrupt());
    await shutdown.waitUntil(
      () => shutdown.remainingMilliseconds,
      () => this.closeUnusedConnections(),
    );
  }

  /** Stops listening, and closes all connections to callers and endpoints. */
  close(): void {
    this.server.close();
    this.open.forEach(open => this.logCutRequest(open));
    this.server.closeAllConnections();
    this.context.client.close();
  }

  /** Closes the connections not in use; returns whether none is left. */
  private closeUnusedConnections(): boolean {
    this.connections.closeIdle(NEW_CONNECTION_MILLISECONDS);
    return this.connections.count === 0;
  }

  private handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const {logger, clock, dialect} = this.context;
    request.on('error', error =>
      logger.debug('caller_connection', {message: error.message}),
    );
    response.on('error', error =>
      logger.debug('caller_connection', {message: error.message}),
    );
    const open = new OpenRequest({
      request,
      response,
      metadata: dialect.readRequest(request.headers),
      arrivedAt: clock.now(),
      connectionPosition: this.connections.recordRequest(
        request.socket,
        response,
      ),
    });
    this.open.add(open);
    response.once('close', () => this.open.delete(open));
    runTask('request', logger, () => this.serve(open));
  }

  private async serve(open: OpenRequest): Promise<void> {
    const {context} = this;
    const {request, response, metadata, controller} = open;
    if (!(await open.waitForTurn())) {
      return;
    }
    const admission = this.admit(request, metadata);
    if (admission.kind === 'answered') {
      this.rejectRequest(open, admission.errorResponse);
      return;
    }
    const read = await readBody(request, {
      maximumBytes: this.maximumBodyBytes,
      signal: controller.signal,
    });
    if (read.kind === 'too_large') {
      const reason = 'the body is larger than operators allow';
      this.rejectRequest(open, {kind: 'rejected', status: 413, reason});
      return;
    }
    if (read.kind === 'broken') {
      return;
    }
    const resolution = await resolveStreamOrigin(metadata, admission, {
      ...context,
      findService: name =>
        this.options.configurationSnapshot().configuration?.services.get(name),
    });
    if (resolution.kind === 'rejected') {
      this.rejectRequest(open, resolution.errorResponse);
      return;
    }
    if (response.destroyed) {
      return;
    }
    if (read.kind === 'interrupted' || controller.signal.aborted) {
      this.rejectRequest(open, this.createStoppingResponse());
      return;
    }
    const {service, origin} = resolution;
    const {connectionPosition, arrivedAt} = open;
    const exchange = createExchange(
      {
        request,
        response,
        metadata,
        connectionPosition,
        arrivedAt,
        controller,
        body: read.body,
        origin,
      },
      {...admission, service},
      context.clock,
    );
    const result = await this.forward(exchange);
    recordExchange(
      exchange,
      result,
      this.context,
      this.options.configurationSnapshot(),
    );
  }

  private admit(
    request: http.IncomingMessage,
    metadata: RequestMetadata,
  ): Admission {
    const {options, context} = this;
    const url = request.url ?? '';
    const queryAt = url.indexOf('?');
    const admission = admitRequest(
      {
        host: request.headers.host ?? '',
        path: queryAt === -1 ? url : url.slice(0, queryAt),
        apiKey: metadata.apiKey,
      },
      options.configurationSnapshot(),
      options.bounds,
      context.random,
    );
    if (
      admission.kind === 'admitted' &&
      !this.endsInTime(admission, metadata)
    ) {
      return {kind: 'answered', errorResponse: this.createStoppingResponse()};
    }
    return admission;
  }

  /** Creates the response to a request that would not end before the gateway. */
  private createStoppingResponse(): ErrorResponse & {kind: 'not_run'} {
    const ownMilliseconds = this.computeReturnMilliseconds() ?? 0;
    return {
      kind: 'not_run',
      reason: 'the gateway stops before the request would end',
      retryAfterMilliseconds:
        this.context.gatewayReturns.computeDelay(ownMilliseconds),
    };
  }

  /** Returns whether a request is expected to end before the gateway does. */
  private endsInTime(
    {route}: Admission & {kind: 'admitted'},
    metadata: RequestMetadata,
  ): boolean {
    const {durations, shutdown} = this.context;
    return (
      !shutdown.hasBegun ||
      decideLastRequest({
        expectedMilliseconds: durations.estimate({route, metadata}),
        remainingMilliseconds: shutdown.remainingAnswerMilliseconds,
      })
    );
  }

  private async forward(exchange: Exchange): Promise<ExchangeResult> {
    const refusal = this.context.quarantine.admit(exchange);
    if (refusal !== undefined) {
      return failExchange(exchange, this.context, {
        ...refusal,
        mayHaveRun: false,
      });
    }
    if (!exchange.route.isStream) {
      return forwardCall(exchange, this.context);
    }
    const session = new StreamSession(exchange, this.context);
    this.sessions.add(session);
    try {
      return await session.run();
    } finally {
      this.sessions.delete(session);
    }
  }

  private rejectRequest(
    {response, metadata, connectionPosition}: OpenRequest,
    errorResponse: ErrorResponse,
  ): void {
    const {context} = this;
    context.metrics.countRequest(
      errorResponse.kind,
      getHttpStatus(errorResponse),
    );
    context.logger.info('refused', {
      request: metadata.requestId,
      kind: errorResponse.kind,
      reason: errorResponse.reason,
      age: Math.round(this.options.configurationSnapshot().ageMilliseconds),
      ...describeConnection(connectionPosition, context.shutdown),
    });
    sendErrorResponse(response, errorResponse, {
      dialect: context.dialect,
      closeConnection:
        errorResponse.kind === 'not_run' || context.shutdown.hasBegun,
    });
  }

  /** Logs a request whose connection is closed before it has its answer. */
  private logCutRequest(open: OpenRequest): void {
    const {clock, logger, shutdown} = this.context;
    logger.warn('request_cut', {
      request: open.metadata.requestId,
      path: open.request.url,
      answered: open.response.headersSent,
      milliseconds: Math.round(clock.now() - open.arrivedAt),
      ...describeConnection(open.connectionPosition, shutdown),
    });
  }

  /** Formats the response to a request whose head is incomplete. */
  private formatPartialResponse(): string {
    const {dialect} = this.context;
    const {retryAfterMilliseconds} = this.createStoppingResponse();
    const [name = '', value = ''] = dialect.buildRetryAfterHeaders(
      retryAfterMilliseconds,
    );
    const lines = [
      'HTTP/1.1 503 Service Unavailable',
      `${name}: ${value}`,
      'Content-Length: 0',
      'Connection: close',
    ];
    return `${lines.join('\r\n')}\r\n\r\n`;
  }
}
