/**
 * `Retry-After` of a request that no endpoint accepts.
 */
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

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
