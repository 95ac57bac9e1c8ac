/**
 * One request on its way, and what the handlers of requests share.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import type {
  Clock,
  EndpointEntry,
  EndpointRegistry,
  Route,
  RoutedOrganisation,
  RoutedService,
} from '@briarpin/coordination';
import type {
  EventLogger,
  GatewayMetrics,
  HistogramRegistry,
} from '@briarpin/telemetry';

import type {Dialect, RequestFacts} from '../dialect/dialect.js';
import type {EndpointClient} from '../endpoint_client/endpoint_client.js';
import type {EndpointLoads} from '../endpoint_loads/endpoint_loads.js';
import type {RetryBudgets} from '../retry_budgets/retry_budgets.js';
import {sendOwnAnswer, type OwnAnswer} from '../own_answers/own_answers.js';

/** Parts of the gateway that handlers of requests use. */
export interface ForwardingParts {
  readonly dialect: Dialect;
  readonly client: EndpointClient;
  readonly endpoints: EndpointRegistry;
  readonly loads: EndpointLoads;
  /** Second sends by service. */
  readonly retryBudgets: RetryBudgets;
  /** Region of an availability zone; undefined when it is not known. */
  readonly regionOf: (availabilityZone: string) => string | undefined;
  readonly clock: Clock;
  readonly random: () => number;
  readonly logger: EventLogger;
  readonly histograms: HistogramRegistry;
  readonly metrics: Pick<GatewayMetrics, 'countRequest'>;
  /** Told when work begins that other gateways should see when they place. */
  readonly onWorkBegun: () => void;
  /** True once the gateway has been told to stop. */
  readonly isLeaving: () => boolean;
}

/** One admitted request. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly facts: RequestFacts;
  readonly route: Route;
  readonly service: RoutedService;
  readonly organisation?: RoutedOrganisation;
  readonly body: Buffer;
  /** Milliseconds of the gateway's clock. */
  readonly arrivedAt: number;
  /** When its deadline or the route's timeout ends it, whichever is first. */
  readonly expiresAt: number;
  /** Aborted when the caller leaves or the time is over. */
  readonly signal: AbortSignal;
  /** Endpoints that it was sent to. */
  readonly tried: string[];
}

/** How a request ended, for logs and histograms. */
export interface ExchangeEnd {
  readonly outcome: 'done' | 'not_run' | 'unknown' | 'left' | 'rejected';
  readonly status: number;
  readonly reason?: string;
  /** Time to the answer or to the first event. */
  readonly firstMilliseconds?: number;
}

/** Milliseconds until the exchange expires; 0 when it has. */
export function remainingMilliseconds(
  exchange: Exchange,
  clock: Clock,
): number {
  return Math.max(0, exchange.expiresAt - clock.now());
}

/** Endpoints of the service that take work and were not tried. */
export function findUntried(
  exchange: Exchange,
  parts: ForwardingParts,
): EndpointEntry[] {
  return parts.endpoints
    .findReady(exchange.service.name)
    .filter(entry => !exchange.tried.includes(entry.id));
}

/**
 * Answers an exchange in place of an endpoint.
 *
 * @returns How it ended
 */
function answerExchange(
  exchange: Exchange,
  parts: ForwardingParts,
  answer: OwnAnswer,
): ExchangeEnd {
  const {response} = exchange;
  if (!response.headersSent && !response.destroyed) {
    sendOwnAnswer(response, answer, {
      dialect: parts.dialect,
      closeConnection: parts.isLeaving(),
    });
  }
  return {
    outcome: answer.kind === 'not_run' ? 'not_run' : 'unknown',
    status: response.statusCode,
    reason: answer.reason,
  };
}

/** Rank of a request; the organisation's goes before the route's. */
export function rankUrgency({organisation, route}: Exchange): number {
  return organisation?.priority ?? route.priority;
}

/** An answer of an endpoint whose body has been read to its end. */
export interface WholeAnswer {
  readonly status: number;
  /** Names and values by turns. */
  readonly headers: string[];
  readonly body: Buffer;
}

/**
 * Passes a whole answer of an endpoint on.
 *
 * @returns How the exchange ended
 */
export function deliverAnswer(
  {response, arrivedAt}: Exchange,
  {dialect, clock, isLeaving}: ForwardingParts,
  {status, headers: rawHeaders, body}: WholeAnswer,
): ExchangeEnd {
  const headers = dialect.writeAnswer(rawHeaders);
  headers.push('Content-Length', String(body.length));
  if (isLeaving()) {
    headers.push('Connection', 'close');
  }
  response.writeHead(status, headers);
  response.end(body);
  const firstMilliseconds = clock.now() - arrivedAt;
  return {outcome: 'done', status, firstMilliseconds};
}

/** Why no endpoint has answered an exchange. */
export interface UnansweredExchange {
  readonly reason: string;
  /** False when the request has certainly not run. */
  readonly mayHaveRun: boolean;
  /** When the caller may come back if it has not run. */
  readonly retryAfterMilliseconds: number;
}

/**
 * Answers an exchange that no endpoint has answered.
 *
 * @returns How it ended
 */
export function answerUnanswered(
  exchange: Exchange,
  parts: ForwardingParts,
  {reason, mayHaveRun, retryAfterMilliseconds}: UnansweredExchange,
): ExchangeEnd {
  if (!mayHaveRun) {
    return answerExchange(exchange, parts, {
      kind: 'not_run',
      reason,
      retryAfterMilliseconds,
    });
  }
  const kind = exchange.signal.aborted ? 'timed_out' : 'unknown';
  return answerExchange(exchange, parts, {kind, reason});
}

/** Logs an attempt that did not bring the answer. */
export function logFailedAttempt(
  exchange: Exchange,
  {logger, clock}: ForwardingParts,
  endpoint: string,
  reason: string,
): void {
  logger.warn('attempt_failed', {
    request: exchange.facts.requestId,
    route: exchange.route.name,
    endpoint,
    reason,
    milliseconds: Math.round(clock.now() - exchange.arrivedAt),
  });
}
