/**
 * Obtains an endpoint for a call, at once or after a wait at the gateway.
 */
import {selectEndpoint} from '@briarpin/scheduling';

import type {EngineAcquisition} from '../engine_acquisition/engine_acquisition.js';
import {findUntriedEndpoints} from '../find_untried_endpoints/find_untried_endpoints.js';
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/**
 * Obtains an endpoint for a call. Where the deployment does not queue for
 * endpoints, the best one is taken at once, however many calls it has.
 *
 * @param exchange - The request
 * @param context - Shared context of the gateway
 * @returns The endpoint; why the call is not sent; or that there is no endpoint.
 *   A promise only where calls may wait
 */
export function acquireCallEndpoint(
  exchange: Exchange,
  context: ForwardingContext,
): EngineAcquisition | Promise<EngineAcquisition> {
  if (context.queuesForEngines()) {
    return context.engineQueue.acquire(exchange, context);
  }
  const entries = findUntriedEndpoints(exchange, context);
  const engine = selectEndpoint(
    context.loads.computeCandidates(entries, exchange.service),
    {random: context.random, neededTokens: 0},
  );
  return engine === undefined ? {kind: 'none'} : {kind: 'placed', engine};
}
