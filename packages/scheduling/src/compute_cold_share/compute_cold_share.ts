/**
 * Share of the request rate that an endpoint tolerates while it is cold.
 */

/**
 * Length of the window in which the requests of a gateway are counted. It exceeds
 * one second, since varying network delay can bring requests closer together.
 */
const WINDOW_MILLISECONDS = 1_250;

/** Input of {@link computeColdShare}. */
export interface ColdShareInput {
  /** Rate of all gateways together; above 0. */
  readonly requestsPerSecond: number;
  /** Number of gateways, this one included; 1 or more. */
  readonly gatewayCount: number;
  /** Position of this gateway in the order of the endpoint; from 0. */
  readonly rank: number;
}

/** Requests that a gateway may send in any window of a length. */
export interface ColdShare {
  readonly requests: number;
  readonly windowMilliseconds: number;
}

/**
 * Computes the share of one gateway. The shares of all gateways that know the same
 * gateways sum to the rate, rounded down. A rate below one request per second is
 * one request in a longer window, at the first gateway of the order.
 *
 * @param input - Rate, number of gateways and position of this one
 * @returns The requests allowed in any window, and its length
 *
 * @example
 * computeColdShare({requestsPerSecond: 36, gatewayCount: 21, rank: 0});
 * //=> {requests: 2, windowMilliseconds: 1250}
 */
export function computeColdShare({
  requestsPerSecond,
  gatewayCount,
  rank,
}: ColdShareInput): ColdShare {
  const total = Math.max(1, Math.floor(requestsPerSecond));
  const remainder = total % gatewayCount;
  return {
    requests: Math.floor(total / gatewayCount) + (rank < remainder ? 1 : 0),
    windowMilliseconds: WINDOW_MILLISECONDS / Math.min(1, requestsPerSecond),
  };
}
