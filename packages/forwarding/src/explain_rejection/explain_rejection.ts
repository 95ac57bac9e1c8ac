/**
 * Reason of a request that no endpoint accepts.
 */
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/** Reason of a request that allowed regions or evacuated zones keep off all. */
const NO_ALLOWED_ENDPOINT = 'no endpoint is in an allowed region and zone';

/** Organisation in the metric of requests without a key. */
const PUBLIC_ORGANISATION = 'public';

/**
 * Explains why no endpoint was chosen for a request, and counts the request if
 * the cause is a lack of allowed endpoints.
 *
 * @param exchange - The request
 * @param context - Filter of the endpoints, and metrics
 * @param overloadReason - Reason if allowed endpoints exist
 */
export function explainRejection(
  exchange: Exchange,
  {eligibility, metrics}: Pick<ForwardingContext, 'eligibility' | 'metrics'>,
  overloadReason: string,
): string {
  if (!eligibility.isRestrictedFromAll(exchange)) {
    return overloadReason;
  }
  metrics.countUnallowedRequest(
    exchange.organisation?.name ?? PUBLIC_ORGANISATION,
  );
  return NO_ALLOWED_ENDPOINT;
}
