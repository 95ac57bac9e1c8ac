/**
 * When a caller that a stopping instance rejects may come back.
 */

/** Delay while another instance serves: the caller may go there now. */
const OTHER_INSTANCE_MILLISECONDS = 50;

/** What an instance knows of itself and of the others. */
export interface ReturnTimes {
  /** True when another instance serves. */
  readonly isOtherServing: boolean;
  /** Time until this instance serves again, in milliseconds. */
  readonly ownMilliseconds: number;
  /** Times until stopping instances serve again, in milliseconds. */
  readonly otherMilliseconds: readonly number[];
}

/**
 * Computes after which time a rejected caller may come back: at once where
 * another instance serves, else when the first one is expected to return.
 *
 * @param times - What is known of the instances
 * @returns Milliseconds until an instance is expected to serve
 *
 * @example
 * computeReturnDelay({isOtherServing: false, ownMilliseconds: 6_000,
 *   otherMilliseconds: [2_500]}); //=> 2500
 */
export function computeReturnDelay({
  isOtherServing,
  ownMilliseconds,
  otherMilliseconds,
}: ReturnTimes): number {
  return isOtherServing
    ? OTHER_INSTANCE_MILLISECONDS
    : Math.max(
        OTHER_INSTANCE_MILLISECONDS,
        Math.min(ownMilliseconds, ...otherMilliseconds),
      );
}
