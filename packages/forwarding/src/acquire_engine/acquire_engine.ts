/**
 * Obtains an engine for a generation, at once or after a wait at the gateway.
 */
import {chooseEngine} from '../choose_placement/choose_placement.js';
import type {EngineAcquisition} from '../engine_acquisition/engine_acquisition.js';
import {findUntriedEndpoints} from '../find_untried_endpoints/find_untried_endpoints.js';
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/**
 * Obtains an engine for a generation. Where the deployment does not queue for
 * engines, the best engine is taken at once, however full it is.
 *
 * @param exchange - The request
 * @param context - Shared context of the gateway
 * @returns The engine; why the request is not sent; or that there is no engine.
 *   A promise only where requests may wait, so that elsewhere the choice and the
 *   count of its work are not separated
 */
export function acquireEngine(
  exchange: Exchange,
  context: ForwardingContext,
): EngineAcquisition | Promise<EngineAcquisition> {
  if (context.queuesForEngines()) {
    return context.engineQueue.acquire(exchange, context);
  }
  const candidates = findUntriedEndpoints(exchange, context);
  const engine = chooseEngine(exchange, context, candidates);
  return engine === undefined ? {kind: 'none'} : {kind: 'placed', engine};
}
