/**
 * Retry rule for failed attempts.
 */

/** State of a request after a failed attempt. */
export interface FailedAttempt {
  /** True when the endpoint certainly did not run the request. */
  readonly notRun: boolean;
  /** True when the request can safely be executed twice. */
  readonly idempotent: boolean;
  /** True when the caller has received a part of the answer. */
  readonly delivered: boolean;
  /** Time until the deadline, in milliseconds. */
  readonly remainingMilliseconds: number;
  /** Number of usable endpoints that have not been tried. */
  readonly untriedEndpoints: number;
}

/**
 * Decides whether a failed attempt may be retried.
 *
 * A retry is allowed only while nothing has been delivered, and only when the
 * request certainly did not run or is idempotent. It is never allowed past the
 * deadline or at an endpoint that has been tried. The caller checks its retry
 * budget separately.
 *
 * @param attempt - State after the failed attempt
 * @returns True when a retry is allowed
 *
 * @example
 * decideRetry({notRun: true, idempotent: false, delivered: false,
 *   remainingMilliseconds: 100, untriedEndpoints: 1}); //=> true
 */
export function decideRetry(attempt: FailedAttempt): boolean {
  const isSafe = attempt.notRun || attempt.idempotent;
  return (
    isSafe &&
    !attempt.delivered &&
    attempt.remainingMilliseconds > 0 &&
    attempt.untriedEndpoints > 0
  );
}
