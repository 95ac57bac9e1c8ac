/**
 * Mean of estimates of which some may be absurd.
 */
import {computeMedian} from '@briarpin/scheduling';

/** Largest ratio of an estimate to the median, either way. */
const MAXIMUM_RATIO = 8;

/**
 * Averages estimates; one far from the median is limited first.
 *
 * @param estimates - Positive numbers
 * @returns The mean; undefined without estimates
 */
export function computeBoundedMean(
  estimates: readonly number[],
): number | undefined {
  const median = computeMedian(estimates);
  if (median === undefined) {
    return undefined;
  }
  const bounded = estimates.map(estimate =>
    Math.min(
      median * MAXIMUM_RATIO,
      Math.max(median / MAXIMUM_RATIO, estimate),
    ),
  );
  return bounded.reduce((sum, value) => sum + value, 0) / bounded.length;
}
