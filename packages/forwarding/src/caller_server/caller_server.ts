/**
 * HTTP server for callers that answers every request it has taken before it
 * closes.
 */
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';

import type {CallerLimits} from '@briarpin/coordination';
import {runTask} from '@briarpin/telemetry';

import {CallerConnections} from '../caller_connections/caller_connections.js';
import {describeConnection} from '../describe_connection/describe_connection.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';
import {OpenRequest} from '../open_request/open_request.js';

/**
 * Limit of the request line and headers. The limit in the configuration is not
 * applied.
 */
const MAXIMUM_HEADER_BYTES = 65_536;

/** Interval at which connections are checked for timeouts. */
const CONNECTION_CHECK_MILLISECONDS = 1_000;

/**
 * Age up to which the first request on a connection is expected: a gateway that
 * stops does not end before.
 */
const NEW_CONNECTION_MILLISECONDS = 1_000;

/** Options of {@link CallerServer}. */
export interface CallerServerOptions {
  /** Serves a request until its response has been sent or has failed. */
  readonly serve: (open: OpenRequest) => Promise<void>;
  /**
   * Returns when the caller of a request that arrived in part may come back, in
   * milliseconds.
   */
  readonly retryAfterMilliseconds: () => number;
}

/** Accepts the connections of callers and tracks the requests on them. */
export class CallerServer {
  private readonly server: http.Server;
  private readonly connections: CallerConnections;
  private readonly open = new Set<OpenRequest>();

  /**
   * @param context - Clock, log, dialect and progress of the shutdown
   * @param options - What serves the requests
   */
  constructor(
    private readonly context: Pick<
      ForwardingContext,
      'clock' | 'logger' | 'dialect' | 'shutdown'
    >,
    private readonly options: CallerServerOptions,
  ) {
    this.connections = new CallerConnections(context.clock);
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

  /** Applies the timeouts of connections. */
  applyLimits(limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMilliseconds;
    this.server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
  }

  /**
   * Shuts down: serves callers until the platform has deregistered the instance,
   * and then, as long as callers are still sent here, up to the time at which
   * the requests that are left have to be answered.
   *
   * @returns Resolves when no request is expected or the time is over
   */
  async drain(): Promise<void> {
    const {shutdown} = this.context;
    await shutdown.waitUntil(
      () => shutdown.remainingDeregistrationMilliseconds,
    );
    const isUnused = () => !this.expectsRequests();
    await shutdown.waitUntil(
      () => shutdown.remainingListeningMilliseconds,
      isUnused,
    );
    this.stopListening();
    await shutdown.waitUntil(
      () => shutdown.remainingAnswerMilliseconds,
      isUnused,
    );
    this.closeIdleConnections();
    await shutdown.waitUntil(
      () => shutdown.remainingAnswerMilliseconds,
      () => this.connections.count === 0,
    );
    await this.answerOpenRequests();
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    this.open.forEach(open => this.logCutRequest(open));
    this.server.closeAllConnections();
  }

  /** Answers all requests that have no answer yet, and sends the answers. */
  private async answerOpenRequests(): Promise<void> {
    const {shutdown} = this.context;
    if (this.closeIdleConnections()) {
      this.connections.answerPartialRequests(this.formatPartialResponse());
    }
    this.open.forEach(open => open.interrupt());
    await shutdown.waitUntil(
      () => shutdown.remainingProcessMilliseconds,
      () => this.open.size === 0 && this.connections.count === 0,
    );
  }

  /**
   * Refuses new connections. The method of the HTTP server would also cut
   * connections whose last response is not sent completely.
   */
  private stopListening(): void {
    net.Server.prototype.close.call(this.server);
  }

  /**
   * Closes the connections on which no request has begun to arrive.
   *
   * @returns False if some may be left: the HTTP server, which alone knows what
   *     has arrived in part, would also cut responses that are not sent yet
   */
  private closeIdleConnections(): boolean {
    this.connections.closeUnused();
    const isSent = !this.connections.hasUnsentBytes;
    if (isSent) {
      this.server.closeIdleConnections();
    }
    return isSent;
  }

  /** Returns whether requests are open, or may still arrive. */
  private expectsRequests(): boolean {
    return (
      this.open.size > 0 ||
      this.connections.hasUnsentBytes ||
      this.connections.hasNew(NEW_CONNECTION_MILLISECONDS)
    );
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
    runTask('request', logger, () => this.serveInTurn(open));
  }

  private async serveInTurn(open: OpenRequest): Promise<void> {
    if (!(await open.waitForTurn())) {
      return;
    }
    try {
      await this.options.serve(open);
    } catch (error) {
      this.endFailedRequest(open, error);
    }
  }

  /**
   * Ends a request whose handler has thrown. It may have run, so that its
   * connection is closed without a response.
   */
  private endFailedRequest(
    {metadata, response}: OpenRequest,
    error: unknown,
  ): void {
    this.context.logger.error('request_handler_failed', {
      request: metadata.requestId,
      message: error instanceof Error ? error.stack : String(error),
    });
    response.destroy();
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
    const [name = '', value = ''] = this.context.dialect.buildRetryAfterHeaders(
      this.options.retryAfterMilliseconds(),
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
