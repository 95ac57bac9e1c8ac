/**
 * Decides whether an instance that shuts down still serves a request.
 */

/**
 * Time that the rest of a request takes beside its run: reading, forwarding
 * and sending the response.
 */
const MARGIN_MILLISECONDS = 50;

/** A request at an instance that shuts down. */
export interface LastRequest {
  /** Time within which nearly all requests of its kind end. */
  readonly expectedMilliseconds: number;
  /** Time until every request must be answered. */
  readonly remainingMilliseconds: number;
}

/**
 * Decides whether a request is served or rejected as not run. One that is served
 * ends, with high probability, before the instance does.
 *
 * @param request - Expected and remaining time
 * @returns True when the request is served
 *
 * @example
 * decideLastRequest({expectedMilliseconds: 900, remainingMilliseconds: 800});
 * //=> false
 */
export function decideLastRequest({
  expectedMilliseconds,
  remainingMilliseconds,
}: LastRequest): boolean {
  return expectedMilliseconds + MARGIN_MILLISECONDS <= remainingMilliseconds;
}
