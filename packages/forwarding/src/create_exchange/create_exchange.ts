/**
 * Creates the exchange of an admitted request.
 */
import type {Clock} from '@briarpin/coordination';

import type {Admission} from '../admit_request/admit_request.js';
import {computeRequestFingerprint} from '../compute_request_fingerprint/compute_request_fingerprint.js';
import type {Exchange} from '../exchange/exchange.js';

/** What a gateway has received of a request. */
type ReceivedRequest = Pick<
  Exchange,
  | 'request'
  | 'response'
  | 'metadata'
  | 'body'
  | 'memory'
  | 'arrivedAt'
  | 'origin'
  | 'connectionPosition'
> & {
  /** Aborted when the request must end. */
  readonly controller: AbortController;
};

/**
 * Creates the exchange of a request and starts the timer of its deadline.
 *
 * @param received - The request, and where its stream began
 * @param admission - Route, service and organisation of the request
 * @param clock - Clock of the deadline
 */
export function createExchange(
  {controller, ...received}: ReceivedRequest,
  {route, service, organisation}: Omit<Admission & {kind: 'admitted'}, 'kind'>,
  clock: Clock,
): Exchange {
  const expiresAt = computeExpiry(received, route);
  const timer = setTimeout(
    () => controller.abort(new Error('the time of the request is over')),
    Math.max(0, expiresAt - clock.now()),
  );
  received.response.once('close', () => clearTimeout(timer));
  const {signal} = controller;
  const fingerprint = once(() =>
    computeRequestFingerprint({
      organisation: organisation?.name,
      path: received.request.url ?? '',
      body: received.body,
    }),
  );
  return {
    ...received,
    fingerprint,
    route,
    service,
    organisation,
    expiresAt,
    signal,
    triedEndpointIds: [],
  };
}

/**
 * Computes when the time of a request is over, in milliseconds of the clock that
 * its arrival was read from.
 *
 * @param received - The request
 * @param route - Its route
 */
export function computeExpiry(
  {arrivedAt, metadata}: Pick<Exchange, 'arrivedAt' | 'metadata'>,
  {timeoutMilliseconds}: Pick<Exchange['route'], 'timeoutMilliseconds'>,
): number {
  return (
    arrivedAt +
    Math.min(
      timeoutMilliseconds,
      metadata.deadlineMilliseconds ?? Number.POSITIVE_INFINITY,
    )
  );
}

/** Returns a function that computes a value on its first call and keeps it. */
function once<T>(compute: () => T): () => T {
  let value: {readonly computed: T} | undefined;
  return () => (value ??= {computed: compute()}).computed;
}
