/**
 * Backoff delays between attempts of a failing call.
 */
import {
  LOG_BACKOFF_MAXIMUM_MILLISECONDS,
  LOG_BACKOFF_MINIMUM_MILLISECONDS,
} from '../constants.js';

/**
 * Computes the delay before the next attempt: exponential with full jitter,
 * on top of a fixed minimum.
 *
 * @param failures - Number of consecutive failures, from 1
 * @param random - Random number generator, returns values in [0, 1)
 * @param maximumMilliseconds - Upper bound of the exponential part, in
 *     milliseconds
 * @returns Delay in milliseconds
 */
export function computeBackoff(
  failures: number,
  random: () => number,
  maximumMilliseconds = LOG_BACKOFF_MAXIMUM_MILLISECONDS,
): number {
  const ceiling = Math.min(
    maximumMilliseconds,
    LOG_BACKOFF_MINIMUM_MILLISECONDS * 2 ** Math.min(failures, 16),
  );
  return LOG_BACKOFF_MINIMUM_MILLISECONDS + random() * ceiling;
}
