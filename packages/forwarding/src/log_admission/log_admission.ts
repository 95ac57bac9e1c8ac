/**
 * Log lines about requests that wait for an engine.
 */
import type {AdmissionRejection, AdmissionRequest} from '@briarpin/scheduling';

import type {Exchange, ForwardingContext} from '../exchange/exchange.js';

/** A request that waits or has waited. */
export interface LoggedRequest {
  readonly request: AdmissionRequest;
  readonly exchange: Pick<Exchange, 'metadata' | 'route'>;
  readonly context: Pick<ForwardingContext, 'logger'>;
  /** Time at which the wait began, on the monotonic clock. */
  readonly queuedAt: number;
}

/** Logs that a request waits. */
export function logQueued(
  {request, exchange, context, queuedAt}: LoggedRequest,
  now: number,
  waiting: number,
): void {
  context.logger.info('queued', {
    request: exchange.metadata.requestId,
    route: exchange.route.name,
    organisation: request.organisation,
    priority: request.priority,
    milliseconds: Math.round(now - queuedAt),
    waiting,
  });
}

/** Logs that a request which was logged as waiting has an engine. */
export function logDequeued(
  {request, exchange, context, queuedAt}: LoggedRequest,
  now: number,
  endpoint: string,
): void {
  context.logger.info('dequeued', {
    request: exchange.metadata.requestId,
    route: exchange.route.name,
    organisation: request.organisation,
    endpoint,
    milliseconds: Math.round(now - queuedAt),
  });
}

/** Logs that a request is rejected, with the predicted wait and the reason. */
export function logRejectedByQueue(
  {request, exchange, context, queuedAt}: LoggedRequest,
  {reason, waitMilliseconds, retryAfterMilliseconds}: AdmissionRejection,
  now: number,
): void {
  context.logger.warn('rejected_by_queue', {
    request: exchange.metadata.requestId,
    route: exchange.route.name,
    organisation: request.organisation,
    priority: request.priority,
    reason,
    predicted: Math.round(waitMilliseconds),
    retry_after: Math.round(retryAfterMilliseconds),
    milliseconds: Math.round(now - queuedAt),
  });
}
