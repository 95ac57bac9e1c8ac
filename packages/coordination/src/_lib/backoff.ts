/**
 * Pauses between tries of a call that fails.
 */
import {
  LOG_BACKOFF_MAXIMUM_MILLISECONDS,
  LOG_BACKOFF_MINIMUM_MILLISECONDS,
} from '../constants.js';

/**
 * Computes the pause before the next try: exponential, with full jitter.
 *
 * @param failures - Failures in a row, from 1
 * @param random - Source of numbers in [0, 1)
 * @param maximumMilliseconds - Longest pause before the jitter
 * @returns Milliseconds
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
