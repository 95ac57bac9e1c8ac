/**
 * Slowdown of an engine's steps by the size of its batch.
 */

/**
 * Increase of the time of a step by each running request, relative to a step
 * without requests: a step takes 7 ms and 0.12 ms for each running request.
 */
const SLOWDOWN_PER_REQUEST = 0.12 / 7;

/**
 * Computes how many times longer a step takes than on an empty engine.
 *
 * @param requests - Requests that run in the batch
 * @returns Factor of at least 1
 */
export function computeBatchSlowdown(requests: number): number {
  return 1 + Math.max(0, requests) * SLOWDOWN_PER_REQUEST;
}
