/**
 * Delays between attempts of a failing call to the store.
 */
import {
  RARE_RETRY_MILLISECONDS,
  TOPIC_BACKOFF_MAXIMUM_MILLISECONDS,
} from '../constants.js';
import {computeBackoff} from './backoff.js';

/** First retries, which are soon also of calls that are not urgent. */
const PROMPT_RETRIES = 2;

/**
 * Computes the delay before the next attempt.
 *
 * @param failures - Number of consecutive failures, from 1
 * @param random - Random number generator, returns values in [0, 1)
 * @param isUrgent - False for a call that nothing waits for
 * @returns Delay in milliseconds
 */
export function computeRetryDelay(
  failures: number,
  random: () => number,
  isUrgent: boolean,
): number {
  return isUrgent || failures <= PROMPT_RETRIES
    ? computeBackoff(failures, random, TOPIC_BACKOFF_MAXIMUM_MILLISECONDS)
    : RARE_RETRY_MILLISECONDS * (0.5 + 0.5 * random());
}
