/**
 * Decides whether an instance that shuts down still serves a request.
 */

/**
 * Time that the rest of a request takes beside its run: reading, forwarding
 * and sending the response.
 */
const MARGIN_MILLISECONDS = 30;

/** A request at an instance that shuts down. */
export interface LastRequest {
  /** Time within which nearly all requests of its kind end. */
  readonly expectedMilliseconds: number;
  /** Time after which the request ends in any case, by its deadline. */
  readonly limitMilliseconds: number;
  /** Time until every request must be answered. */
  readonly remainingMilliseconds: number;
  /**
   * True for a stream that comes when callers should have gone elsewhere. Once it
   * has begun, no failure can take its place; only its limit is certain then.
   */
  readonly isLateStream: boolean;
}

/**
 * Decides whether a request is served or rejected as not run. One that is served
 * ends, with high probability, before the instance does; a late stream certainly.
 *
 * @param request - Expected, longest and remaining time
 * @returns True when the request is served
 *
 * @example
 * decideLastRequest({expectedMilliseconds: 900, limitMilliseconds: 6_000,
 *   remainingMilliseconds: 800, isLateStream: false}); //=> false
 */
export function decideLastRequest({
  expectedMilliseconds,
  limitMilliseconds,
  remainingMilliseconds,
  isLateStream,
}: LastRequest): boolean {
  const neededMilliseconds = isLateStream
    ? limitMilliseconds
    : expectedMilliseconds;
  return neededMilliseconds + MARGIN_MILLISECONDS <= remainingMilliseconds;
}
