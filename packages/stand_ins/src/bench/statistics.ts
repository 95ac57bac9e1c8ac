/**
 * Basic statistics.
 */

/**
 * Computes a percentile by the nearest-rank method.
 *
 * @param values - Values in any order
 * @param percent - Percentage from 0 to 100
 * @returns The percentile; 0 if there are no values
 */
export function findPercentile(
  values: readonly number[],
  percent: number,
): number {
  if (values.length === 0) {
    return 0;
  }
  const sorted = Float64Array.from(values).sort();
  const rank = Math.ceil((percent / 100) * sorted.length) - 1;
  return sorted[Math.max(0, rank)] ?? 0;
}

/** Returns the sum; 0 if there are no values. */
export function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Returns the arithmetic mean; 0 if there are no values. */
export function mean(values: readonly number[]): number {
  return values.length === 0 ? 0 : sum(values) / values.length;
}
