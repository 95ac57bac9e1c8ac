/**
 * Reproducible random numbers from a seed.
 */
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

const VALUE_COUNT = 0x7fffffff;

/** Returns a random number in [0, 1). */
export type Random = () => number;

/**
 * Creates a source of random numbers.
 *
 * @param seed - Seed; equal seeds give equal sequences
 * @returns The source
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () =>
    unsafeUniformIntDistribution(0, VALUE_COUNT - 1, generator) / VALUE_COUNT;
}

/** Draws from an exponential distribution. */
export function drawExponential(random: Random, mean: number): number {
  return -Math.log(1 - random()) * mean;
}

/** Draws from a log-normal distribution. */
export function drawLogNormal(
  random: Random,
  median: number,
  sigma: number,
): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  const normal = radius * Math.cos(2 * Math.PI * random());
  return median * Math.exp(sigma * normal);
}

/** Draws an integer between two inclusive bounds. */
export function drawInteger(random: Random, low: number, high: number): number {
  return low + Math.floor(random() * (high - low + 1));
}
