/**
 * Decides which endpoints of a plain service have room for a call.
 */
import type {EndpointState} from '../select_endpoint/select_endpoint.js';

/**
 * Share of the target latency that the predicted answer may take at an endpoint
 * where calls wait; the rest covers errors of the prediction.
 */
const ANSWER_SHARE = 0.8;

/**
 * Calls that may wait at an endpoint for each call that it accepts, while no
 * recent call shows how fast it answers.
 */
const WAITING_PER_SLOT = 2;

/**
 * Finds the endpoints that answer a call within the target latency: those that
 * accept more calls at once, and those that work off what waits there in time.
 *
 * @param endpoints - Endpoints that may receive the call
 * @param demand - Shortest target latency among the calls of the service
 * @returns The endpoints with room
 */
export function findCallRoom<T extends EndpointState>(
  endpoints: readonly T[],
  {shortestTargetMilliseconds}: {readonly shortestTargetMilliseconds: number},
): T[] {
  const answerMilliseconds = shortestTargetMilliseconds * ANSWER_SHARE;
  return endpoints.filter(
    ({
      openRequests,
      concurrencyLimit,
      waitMilliseconds,
      roundTripMilliseconds,
    }) =>
      openRequests < concurrencyLimit ||
      (openRequests < concurrencyLimit * (1 + WAITING_PER_SLOT) &&
        waitMilliseconds + roundTripMilliseconds <= answerMilliseconds),
  );
}
