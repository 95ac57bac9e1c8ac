/**
 * Pins a stream to the software version where it begins.
 */
import {
  UNKNOWN_SOFTWARE_VERSION,
  type Clock,
  type EndpointEntry,
} from '@briarpin/coordination';

import {computeTakeUpTime} from '../compute_take_up_time/compute_take_up_time.js';
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/** What this gateway knows of endpoints and streams. */
export type OriginPinContext = Pick<
  ForwardingContext,
  'endpoints' | 'doubts' | 'streamOrigins' | 'clock'
>;

/**
 * Decides on the first event that an endpoint sends for a request. The first one
 * of a stream pins the exchange to the service and the software version of its
 * endpoint, and other gateways are told before its caller receives it.
 *
 * @param exchange - The request; receives the origin
 * @param context - Shared context of the gateway
 * @param endpoint - Entry of the endpoint when it was selected
 * @param options - Whether the endpoint goes on from the memory of the run, which
 *   it holds only if it has not been started again
 * @returns False if the event must not reach the caller, as the endpoint now has
 *   other software than when it was selected, or may have
 */
export function pinStreamOrigin(
  exchange: Exchange,
  {endpoints, doubts, streamOrigins, clock}: OriginPinContext,
  endpoint: EndpointEntry,
  {hasMemory = false}: {readonly hasMemory?: boolean} = {},
): boolean {
  if (endpoints.hasOtherSoftware(endpoint)) {
    return false;
  }
  const isInDoubt = doubts.isInDoubt(endpoint);
  if (exchange.origin !== undefined) {
    return hasMemory || !isInDoubt;
  }
  const softwareVersion = isInDoubt
    ? UNKNOWN_SOFTWARE_VERSION
    : endpoint.softwareVersion;
  setOrigin(exchange, {streamOrigins, clock}, softwareVersion, endpoint);
  return true;
}

/**
 * Decides on a stream that has begun and that its endpoint has broken off. It
 * belongs to no version any more if the endpoint turns out to have been started
 * again with other software, before or after it began.
 *
 * @param exchange - The request; its origin may become unknown
 * @param context - Shared context of the gateway
 * @param endpoint - Entry of the endpoint when it was selected
 * @returns True if the stream may continue at its origin
 */
export function confirmStreamOrigin(
  exchange: Exchange,
  {endpoints, streamOrigins, clock}: OriginPinContext,
  endpoint: EndpointEntry,
): boolean {
  if (exchange.origin !== undefined && endpoints.hasOtherSoftware(endpoint)) {
    setOrigin(
      exchange,
      {streamOrigins, clock},
      UNKNOWN_SOFTWARE_VERSION,
      endpoint,
    );
  }
  return exchange.origin?.softwareVersion !== UNKNOWN_SOFTWARE_VERSION;
}

function setOrigin(
  exchange: Exchange,
  {streamOrigins, clock}: Pick<OriginPinContext, 'streamOrigins' | 'clock'>,
  softwareVersion: string,
  {service}: EndpointEntry,
): void {
  const origin = {service, softwareVersion};
  exchange.origin = origin;
  const {requestId} = exchange.metadata;
  if (requestId !== undefined && exchange.route.isResumable) {
    const lifetimeMilliseconds = computeLifetime(exchange, clock);
    streamOrigins.recordBegin({requestId, origin, lifetimeMilliseconds});
  }
}

/** Computes how long the caller of a stream may still take it up. */
function computeLifetime(
  {arrivedAt, route, metadata}: Exchange,
  clock: Clock,
): number {
  return arrivedAt + computeTakeUpTime(route, metadata) - clock.now();
}
