/**
 * Endpoints that may still be attempted for an exchange.
 */
import type {EligibleEndpoints} from '../endpoint_eligibility/endpoint_eligibility.js';
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/** Returns the endpoints that accept the request and were not attempted yet. */
export function findUntriedEndpoints(
  exchange: Exchange,
  {eligibility}: Pick<ForwardingContext, 'eligibility'>,
): EligibleEndpoints {
  return eligibility
    .findAccepting(exchange)
    .filter(({id}) => !exchange.triedEndpointIds.includes(id));
}
