/**
 * Decision on a request that may show whether a suspect still crashes endpoints.
 */

/**
 * Time after the last crash in which requests that ran elsewhere may still
 * complete and clear the suspect.
 */
const QUIET_MILLISECONDS = 2_000;

/** Time after a trial without a crash or a complete run until the next one. */
const UNDECIDED_MILLISECONDS = 15_000;

/**
 * Share of the requests after which a trial starts, so that few processes start
 * one before they hear of each other's.
 */
const TRIAL_SHARE = 0.25;

/** What is known of a suspect; times in milliseconds of one clock. */
export interface TrialState {
  /** Time of the newest crash that the suspect is not cleared of. */
  readonly lastCrashAt: number;
  /** Time of the newest trial; absent if there was none since it was cleared. */
  readonly lastTrialAt?: number;
  readonly now: number;
}

/**
 * Decides whether a request that would be refused runs, to show whether its
 * suspect crashes endpoints.
 *
 * A trial that crashes its endpoint is the last one while the suspicion lasts.
 *
 * @param state - Crashes and trials so far
 * @param random - Returns a number from 0 to 1
 * @returns True when the request is to run as a trial
 *
 * @example
 * decideTrial({lastCrashAt: 0, now: 5_000}, () => 0); //=> true
 */
export function decideTrial(state: TrialState, random: () => number): boolean {
  return computeTrialWaitMilliseconds(state) === 0 && random() < TRIAL_SHARE;
}

/**
 * Computes the time until a trial of a suspect may start.
 *
 * @param state - Crashes and trials so far
 * @returns Milliseconds; undefined when there will be no other trial
 */
export function computeTrialWaitMilliseconds({
  lastCrashAt,
  lastTrialAt = Number.NEGATIVE_INFINITY,
  now,
}: TrialState): number | undefined {
  const hasFailed =
    lastCrashAt >= lastTrialAt && lastTrialAt > Number.NEGATIVE_INFINITY;
  return hasFailed
    ? undefined
    : Math.max(
        0,
        lastCrashAt + QUIET_MILLISECONDS - now,
        lastTrialAt + UNDECIDED_MILLISECONDS - now,
      );
}
