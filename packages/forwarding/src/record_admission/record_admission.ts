/**
 * Records requests that wait for an engine, in the log and the metrics.
 */
import type {AdmissionRejection, AdmissionRequest} from '@briarpin/scheduling';

import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/** A request that waits or has waited. */
export interface LoggedRequest {
  readonly request: AdmissionRequest;
  readonly exchange: Pick<Exchange, 'metadata' | 'route'>;
  readonly context: Pick<
    ForwardingContext,
    'logger' | 'metrics' | 'histograms'
  >;
  /** Time at which the wait began, on the monotonic clock. */
  readonly queuedAt: number;
  /** True once its wait has been logged. */
  readonly isLogged: boolean;
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

/** Records the wait of a request that has an engine now. */
export function recordPlacement(
  {request, exchange, context, queuedAt, isLogged}: LoggedRequest,
  now: number,
  endpoint: string,
): void {
  const {organisation} = request;
  const {route, metadata} = exchange;
  const milliseconds = now - queuedAt;
  context.histograms.record(
    'queue_wait_milliseconds',
    organisation,
    route.name,
    milliseconds,
  );
  if (isLogged) {
    context.logger.info('dequeued', {
      request: metadata.requestId,
      route: route.name,
      organisation,
      endpoint,
      milliseconds: Math.round(milliseconds),
    });
  }
}

/** Records a rejection with the predicted wait and the deciding reason. */
export function recordRejection(
  {request, exchange, context, queuedAt}: LoggedRequest,
  {reason, waitMilliseconds, retryAfterMilliseconds}: AdmissionRejection,
  now: number,
): void {
  context.metrics.countQueueRejection(request.organisation, reason);
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
