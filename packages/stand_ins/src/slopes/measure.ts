/**
 * Measurement of costs at several sizes, with a linear fit.
 */

/** One measurement: the cost at a size. */
export interface SlopePoint {
  readonly size: number;
  readonly cost: number;
}

/** A cost as a linear function of a size. */
export interface Slope {
  readonly name: string;
  /** Item that the size counts. */
  readonly per: string;
  /** Unit of the cost. */
  readonly unit: string;
  readonly points: readonly SlopePoint[];
  readonly intercept: number;
  readonly slope: number;
  /** Largest distance of a point from the line, relative to the largest cost. */
  readonly residual: number;
}

/**
 * Fits a line to the points by least squares.
 *
 * @param name - Name of the slope
 * @param units - Item that the size counts and unit of the cost
 * @param points - At least four points
 * @returns The fitted slope with its residual
 */
export function fitSlope(
  name: string,
  units: {readonly per: string; readonly unit: string},
  points: readonly SlopePoint[],
): Slope {
  const count = points.length;
  const meanSize = points.reduce((sum, {size}) => sum + size, 0) / count;
  const meanCost = points.reduce((sum, {cost}) => sum + cost, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const {size, cost} of points) {
    covariance += (size - meanSize) * (cost - meanCost);
    variance += (size - meanSize) ** 2;
  }
  const slope = covariance / variance;
  const intercept = meanCost - slope * meanSize;
  const largestCost = Math.max(...points.map(({cost}) => Math.abs(cost)));
  const residual =
    Math.max(
      ...points.map(({size, cost}) =>
        Math.abs(intercept + slope * size - cost),
      ),
    ) / largestCost;
  return {name, ...units, points, intercept, slope, residual};
}

/**
 * Measures the used heap and array buffers after a garbage collection, in
 * bytes. Skips the collection if Node.js runs without `--expose-gc`.
 */
export function measureHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers;
}

/**
 * Measures the processor time of an action.
 *
 * @param repeats - Number of runs
 * @param action - Action to measure; receives the index of the run
 * @returns Average processor time of one run, in microseconds
 */
export function measureCpuMicroseconds(
  repeats: number,
  action: (index: number) => void,
): number {
  const start = process.cpuUsage();
  for (let index = 0; index < repeats; index += 1) {
    action(index);
  }
  const {user, system} = process.cpuUsage(start);
  return (user + system) / repeats;
}
