/**
 * The log line of an attempt that failed.
 */
import {describeSharedParts} from '../describe_shared_parts/describe_shared_parts.js';
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

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
