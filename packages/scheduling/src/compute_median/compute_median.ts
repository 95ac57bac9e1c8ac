/**
 * Median of a few numbers.
 */

/**
 * Computes the median.
 *
 * @param values - Numbers in any order
 * @returns The middle number, or the mean of the two middle ones; undefined
 *   without numbers
 *
 * @example
 * computeMedian([3, 1, 2]); //=> 2
 */
export function computeMedian(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle];
  const lower = sorted.length % 2 === 0 ? sorted[middle - 1] : upper;
  return upper === undefined || lower === undefined
    ? undefined
    : (lower + upper) / 2;
}
