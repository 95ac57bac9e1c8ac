/**
 * Pins a stream to the software version where it begins.
 */
import type {Clock, EndpointEntry} from '@briarpin/coordination';

import {computeTakeUpTime} from '../compute_take_up_time/compute_take_up_time.js';
import type {Exchange, ForwardingContext} from '../exchange/exchange.js';

/**
 * Decides on the first event that an endpoint sends for a request. The first one
 * of a stream pins the exchange to the service and the software version of its
 * endpoint, and other gateways are told before its caller receives it.
 *
 * @param exchange - The request; receives the origin
 * @param context - Shared context of the gateway
 * @param endpoint - Entry of the endpoint when it was selected
 * @returns False if the event must not reach the caller, as the endpoint now has
 *   other software than when it was selected
 */
export function pinStreamOrigin(
  exchange: Exchange,
  {
    endpoints,
    streamOrigins,
    clock,
  }: Pick<ForwardingContext, 'endpoints' | 'streamOrigins' | 'clock'>,
  endpoint: EndpointEntry,
): boolean {
  if (endpoints.hasOtherSoftware(endpoint)) {
    return false;
  }
  if (exchange.origin !== undefined) {
    return true;
  }
  const {service, softwareVersion} = endpoint;
  const origin = {service, softwareVersion};
  exchange.origin = origin;
  const {requestId} = exchange.metadata;
  if (requestId !== undefined && exchange.route.isResumable) {
    const lifetimeMilliseconds = computeLifetime(exchange, clock);
    streamOrigins.recordBegin({requestId, origin, lifetimeMilliseconds});
  }
  return true;
}

/** Computes how long the caller of a stream may still take it up. */
function computeLifetime(
  {arrivedAt, route, metadata}: Exchange,
  clock: Clock,
): number {
  return arrivedAt + computeTakeUpTime(route, metadata) - clock.now();
}
