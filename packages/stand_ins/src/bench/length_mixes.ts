/**
 * Distributions of output lengths for the benchmarks.
 */
import {drawInteger, drawLogNormal, type Random} from './seeded_random.js';

const MAXIMUM_LENGTH_TOKENS = 30_000;

/** A named distribution of output lengths, in tokens. */
export interface LengthMix {
  readonly name: string;
  /**
   * Draws the length of a generation.
   *
   * @param random - Source of random numbers
   * @param progress - Elapsed share of the run, from 0 to 1
   */
  readonly draw: (random: Random, progress: number) => number;
}

/** All mixes of the admission benchmark. */
export const LENGTH_MIXES: readonly LengthMix[] = [
  {name: 'short', draw: random => clampLength(drawLogNormal(random, 40, 0.6))},
  {name: 'long', draw: random => clampLength(drawLogNormal(random, 600, 0.5))},
  {
    name: 'heavy_tail',
    draw: random => clampLength(drawLogNormal(random, 100, 1.5)),
  },
  {name: 'bimodal', draw: drawBimodal},
  {
    name: 'shifting',
    draw: (random, progress) =>
      progress < 0.5
        ? clampLength(drawLogNormal(random, 120, 0.6))
        : drawBimodal(random),
  },
];

function drawBimodal(random: Random): number {
  return random() < 0.8
    ? drawInteger(random, 8, 40)
    : drawInteger(random, 900, 1_300);
}

function clampLength(tokens: number): number {
  return Math.min(MAXIMUM_LENGTH_TOKENS, Math.max(1, Math.round(tokens)));
}
