/**
 * Times in reports between gateways.
 */

/** Largest value of a field of 32 bits. */
const MAXIMUM_MICROSECONDS = 2 ** 32 - 1;

const MICROSECONDS_PER_MILLISECOND = 1_000;

/**
 * Converts a time for a report, in which 0 stands for an unknown one.
 *
 * @param milliseconds - A time of more than 0
 * @returns Whole microseconds, at least 1, within the field of the message
 */
export function toMicroseconds(milliseconds: number): number {
  return Math.min(
    MAXIMUM_MICROSECONDS,
    Math.max(1, Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND)),
  );
}
