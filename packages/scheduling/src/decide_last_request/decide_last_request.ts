/**
 * Decides whether an instance that shuts down still serves a request.
 */

/**
 * Time that the rest of a request takes beside its run: reading, forwarding
 * and sending the response.
 */
const MARGIN_MILLISECONDS = 30;

/**
 * Factor of the expected time of a stream that comes when callers should have
 * gone elsewhere: once it has begun, no failure can take its place.
 */
const LATE_STREAM_FACTOR = 3;

/** A request at an instance that shuts down. */
export interface LastRequest {
  /** Time within which nearly all requests of its kind end. */
  readonly expectedMilliseconds: number;
  /** Time until every request must be answered. */
  readonly remainingMilliseconds: number;
  /**
   * True for a stream that comes after the platform should have deregistered
   * the instance.
   */
  readonly isLateStream: boolean;
}

/**
 * Decides whether a request is served or rejected as not run. One that is served
 * ends, with high probability, before the instance does.
 *
 * @param request - Expected and remaining time
 * @returns True when the request is served
 *
 * @example
 * decideLastRequest({expectedMilliseconds: 900, remainingMilliseconds: 800,
 *   isLateStream: false}); //=> false
 */
export function decideLastRequest({
  expectedMilliseconds,
  remainingMilliseconds,
  isLateStream,
}: LastRequest): boolean {
  const factor = isLateStream ? LATE_STREAM_FACTOR : 1;
  const neededMilliseconds = factor * expectedMilliseconds;
  return neededMilliseconds + MARGIN_MILLISECONDS <= remainingMilliseconds;
}
