/**
 * An admitted request, and the services that request handlers share.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import type {
  AwaitedRead,
  Clock,
  EndpointRegistry,
  Route,
  RoutedOrganisation,
  RoutedService,
  StreamOrigin,
} from '@briarpin/coordination';
import {canHaveBody} from '@briarpin/platform';
import type {
  EventLogger,
  GatewayMetrics,
  HistogramRegistry,
} from '@briarpin/telemetry';

import type {ConnectionPosition} from '../caller_connections/caller_connections.js';
import type {ColdEndpoints} from '../cold_endpoints/cold_endpoints.js';
import type {Dialect, RequestMetadata} from '../dialect/dialect.js';
import type {CrashQuarantine} from '../crash_quarantine/crash_quarantine.js';
import type {EndpointDoubts} from '../endpoint_doubts/endpoint_doubts.js';
import type {EndpointClient} from '../endpoint_client/endpoint_client.js';
import type {
  EligibleEndpoints,
  EndpointEligibility,
} from '../endpoint_eligibility/endpoint_eligibility.js';
import type {EndpointLimits} from '../endpoint_limits/endpoint_limits.js';
import type {EndpointLoads} from '../endpoint_loads/endpoint_loads.js';
import type {EngineQueue} from '../engine_queue/engine_queue.js';
import type {GatewayReturns} from '../gateway_returns/gateway_returns.js';
import type {
  MemoryAccount,
  MemoryBudget,
} from '../memory_budget/memory_budget.js';
import {listSharedParts} from '../list_shared_parts/list_shared_parts.js';
import type {OrganisationWorkCounts} from '../organisation_work/organisation_work.js';
import type {RequestDurations} from '../request_durations/request_durations.js';
import type {RetryBudgets} from '../retry_budgets/retry_budgets.js';
import type {Shutdown} from '../shutdown/shutdown.js';
import type {StreamOrigins} from '../stream_origins/stream_origins.js';
import {
  sendErrorResponse,
  type ErrorResponse,
} from '../error_response/error_response.js';

/** Services and state of the gateway that request handlers use. */
export interface ForwardingContext {
  readonly dialect: Dialect;
  readonly client: EndpointClient;
  readonly endpoints: EndpointRegistry;
  /** Filters the endpoints that a request may use. */
  readonly eligibility: EndpointEligibility;
  /** Requests that this gateway may send to endpoints after their start. */
  readonly coldEndpoints: ColdEndpoints;
  /** Waits until the endpoints are known as of now. */
  readonly endpointsRead: Pick<AwaitedRead, 'wait'>;
  readonly loads: EndpointLoads;
  /** Rate limits that endpoints state. */
  readonly limits: EndpointLimits;
  /** Retry budgets by service. */
  readonly retryBudgets: RetryBudgets;
  readonly quarantine: CrashQuarantine;
  /** Endpoints that may have been replaced by later incarnations. */
  readonly doubts: Pick<EndpointDoubts, 'isInDoubt'>;
  /** How long requests have taken. */
  readonly durations: RequestDurations;
  /** Software versions at which the streams of all gateways began. */
  readonly streamOrigins: StreamOrigins;
  /** Region of an availability zone; undefined if it is not known. */
  readonly regionOf: (availabilityZone: string) => string | undefined;
  readonly clock: Clock;
  readonly random: () => number;
  readonly logger: EventLogger;
  readonly histograms: HistogramRegistry;
  readonly metrics: Pick<
    GatewayMetrics,
    'countRequest' | 'countUnallowedRequest' | 'countQueueRejection'
  >;
  /** Called when work starts that other gateways must count for placement. */
  readonly onWorkStarted: () => void;
  readonly shutdown: Shutdown;
  /** Memory for bodies, buffered responses and unsent bytes. */
  readonly memory: MemoryBudget;
  /** When the other gateways are expected to return that stop. */
  readonly gatewayReturns: GatewayReturns;
  /** True if requests wait at the gateway while no engine has room. */
  readonly queuesForEngines: () => boolean;
  /** Requests that wait for an engine. */
  readonly engineQueue: EngineQueue;
  /** Work by organisation; counted if requests wait for engines. */
  readonly organisationWork: OrganisationWorkCounts;
}

/** One admitted request. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly metadata: RequestMetadata;
  readonly route: Route;
  readonly service: RoutedService;
  readonly organisation?: RoutedOrganisation;
  readonly body: Buffer;
  /** Memory that the request holds; released when its response is sent. */
  readonly memory: MemoryAccount;
  /** Returns the fingerprint, which is the same when the request comes again. */
  readonly fingerprint: () => string;
  /** Place of the request on its caller's connection. */
  readonly connectionPosition: ConnectionPosition;
  /** Arrival time in milliseconds of the gateway's clock. */
  readonly arrivedAt: number;
  /** The earlier of the caller's deadline and the route's timeout. */
  readonly expiresAt: number;
  /** Aborted when the caller disconnects, or the exchange or gateway ends. */
  readonly signal: AbortSignal;
  /** Endpoints that have been attempted, in order. */
  readonly triedEndpointIds: string[];
  /**
   * Where the stream began; absent until its first event. Once it is set, no
   * other software version may run the request.
   */
  origin?: StreamOrigin;
}

/** How a request ended, for logs, metrics and histograms. */
export interface ExchangeResult {
  readonly outcome: 'done' | 'not_run' | 'unknown' | 'left' | 'rejected';
  readonly status: number;
  readonly reason?: string;
  /** Time from arrival to the response or to the first event. */
  readonly firstByteMilliseconds?: number;
}

/**
 * Returns the milliseconds until an exchange must be answered: until it expires
 * or the gateway ends; 0 once they have passed.
 */
export function computeRemainingMilliseconds(
  exchange: Exchange,
  {clock, shutdown}: Pick<ForwardingContext, 'clock' | 'shutdown'>,
): number {
  return Math.max(
    0,
    Math.min(
      exchange.expiresAt - clock.now(),
      shutdown.remainingAnswerMilliseconds,
    ),
  );
}

/** Returns the endpoints that accept the request and were not attempted yet. */
export function findUntriedEndpoints(
  exchange: Exchange,
  {eligibility}: Pick<ForwardingContext, 'eligibility'>,
): EligibleEndpoints {
  return eligibility
    .findAccepting(exchange)
    .filter(({id}) => !exchange.triedEndpointIds.includes(id));
}

/**
 * Computes when a request that no endpoint accepts may come again.
 *
 * @param exchange - The request
 * @param context - Filter of the endpoints
 * @param overloadMilliseconds - Time for which endpoints without a limit are
 *   expected to be overloaded
 * @returns Milliseconds until the first endpoint is expected to accept it
 */
export function computeRetryAfterMilliseconds(
  exchange: Exchange,
  context: Pick<ForwardingContext, 'eligibility'>,
  overloadMilliseconds: number,
): number {
  return Math.max(
    overloadMilliseconds,
    context.eligibility.computeWaitMilliseconds(exchange),
  );
}

/**
 * Returns whether the connection closes with the response: when the gateway
 * stops, unless it has already read another request on the connection.
 */
export function closesConnection(
  {connectionPosition}: Pick<Exchange, 'connectionPosition'>,
  {shutdown}: Pick<ForwardingContext, 'shutdown'>,
): boolean {
  return shutdown.hasBegun && !connectionPosition.isFollowed;
}

/**
 * Sends an error response of the gateway, unless a response has begun.
 *
 * @returns How the exchange ended
 */
function sendExchangeError(
  exchange: Exchange,
  context: ForwardingContext,
  errorResponse: ErrorResponse,
): ExchangeResult {
  const {response} = exchange;
  if (!response.headersSent && !response.destroyed) {
    sendErrorResponse(response, errorResponse, {
      dialect: context.dialect,
      closeConnection: closesConnection(exchange, context),
    });
  }
  return {
    outcome: errorResponse.kind === 'not_run' ? 'not_run' : 'unknown',
    status: response.statusCode,
    reason: errorResponse.reason,
  };
}

/** Returns the organisation's priority, or the route's if it has none. */
export function resolvePriority({organisation, route}: Exchange): number {
  return organisation?.priority ?? route.priority;
}

/** A response of an endpoint whose body has been read to its end. */
export interface BufferedResponse {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer;
}

/**
 * Forwards a complete response of an endpoint.
 *
 * @returns How the exchange ended
 */
export function sendBufferedResponse(
  exchange: Exchange,
  context: ForwardingContext,
  {status, headers: rawHeaders, body}: BufferedResponse,
): ExchangeResult {
  const {response, arrivedAt} = exchange;
  const {dialect, clock} = context;
  const headers = dialect.buildResponseHeaders(rawHeaders);
  if (canHaveBody(exchange.request.method, status)) {
    headers.push('Content-Length', String(body.length));
  }
  if (closesConnection(exchange, context)) {
    headers.push('Connection', 'close');
  }
  response.writeHead(status, headers);
  response.end(body);
  const firstByteMilliseconds = clock.now() - arrivedAt;
  return {outcome: 'done', status, firstByteMilliseconds};
}

/** Why an exchange got no usable response from an endpoint. */
export interface ExchangeFailure {
  readonly reason: string;
  /** False when the request certainly did not run. */
  readonly mayHaveRun: boolean;
  /** `Retry-After` for a request that did not run. */
  readonly retryAfterMilliseconds: number;
}

/**
 * Sends the error response of an exchange that got no usable response from an
 * endpoint.
 *
 * @returns How the exchange ended
 */
export function failExchange(
  exchange: Exchange,
  context: ForwardingContext,
  {reason, mayHaveRun, retryAfterMilliseconds}: ExchangeFailure,
): ExchangeResult {
  if (!mayHaveRun) {
    return sendExchangeError(exchange, context, {
      kind: 'not_run',
      reason,
      retryAfterMilliseconds,
    });
  }
  const kind = exchange.signal.aborted ? 'timed_out' : 'unknown';
  return sendExchangeError(exchange, context, {kind, reason});
}

/** Returns the shared parts of the prompt for a log line. */
export function describeSharedParts({
  metadata,
}: Pick<Exchange, 'metadata'>): string | undefined {
  return listSharedParts(metadata).join(',') || undefined;
}

/** Logs an attempt that got no usable response. */
export function logFailedAttempt(
  exchange: Exchange,
  {logger, clock}: ForwardingContext,
  endpoint: string,
  reason: string,
): void {
  logger.warn('attempt_failed', {
    request: exchange.metadata.requestId,
    fingerprint: exchange.fingerprint(),
    parts: describeSharedParts(exchange),
    route: exchange.route.name,
    endpoint,
    reason,
    milliseconds: Math.round(clock.now() - exchange.arrivedAt),
  });
}
