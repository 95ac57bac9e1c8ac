/**
 * Prediction of the peak memory use of the running generations.
 */
import {MARGIN_DAMPING} from '../constants.js';
import type {LengthDistribution} from '../length_distribution/length_distribution.js';

/**
 * Numbers of steps ahead at which memory is predicted; from 4 on, each is the
 * previous one times the square root of 2.
 */
const HORIZONS_STEPS: readonly number[] = [
  1,
  ...Array.from({length: 29}, (_, index) => Math.round(2 ** (2 + index / 2))),
];

/** A generation whose memory is predicted. */
export interface PredictedGeneration {
  /** Tokens of the prompt, held in memory until the generation ends. */
  readonly promptTokens: number;
  /** Tokens generated so far. */
  readonly generatedTokens: number;
  readonly maximumTokens?: number;
  readonly distribution: LengthDistribution;
}

/** Options of {@link PeakPredictor.predict}. */
export interface PredictPeakOptions {
  /** Margin, in standard deviations of the predicted peak. */
  readonly deviations: number;
  /** Tokens that fit in memory. */
  readonly capacityTokens: number;
}

/**
 * Predicts the peak memory use until all running generations have ended.
 *
 * Every running generation grows by one token per step. For each horizon, the
 * probability that a generation still runs, given its length so far, yields the
 * mean and the variance of the memory in use. The peak is the largest mean plus
 * a margin in standard deviations. With many generations independent deviations
 * average out, and the margin becomes a small share of the memory. The error of
 * the length distribution itself does not average out, because all generations
 * share it: its deviations are added linearly, and it shrinks with the number
 * of observed lengths. An engine with few observations therefore fills slowly.
 *
 * Resetting costs O(n) for n running generations; evaluating a candidate costs
 * O(1).
 */
export class PeakPredictor {
  private readonly means = new Float64Array(HORIZONS_STEPS.length);
  private readonly variances = new Float64Array(HORIZONS_STEPS.length);
  /** Standard deviation of the error that all generations share, by horizon. */
  private readonly sharedDeviations = new Float64Array(HORIZONS_STEPS.length);

  /**
   * Recomputes the prediction from the generations that run now.
   *
   * @param running - Every running generation
   */
  reset(running: Iterable<PredictedGeneration>): void {
    this.means.fill(0);
    this.variances.fill(0);
    this.sharedDeviations.fill(0);
    for (const generation of running) {
      this.add(generation);
    }
  }

  /**
   * Adds a generation to the prediction.
   *
   * @param generation - The generation
   */
  add(generation: PredictedGeneration): void {
    this.accumulate(generation, 1);
  }

  /**
   * Removes the present contribution of a generation.
   *
   * The contribution may have changed since the generation was added; the next
   * {@link reset} removes the difference.
   *
   * @param generation - The generation
   */
  remove(generation: PredictedGeneration): void {
    this.accumulate(generation, -1);
  }

  /**
   * Predicts the peak.
   *
   * The margin grows more slowly than the deviation where the deviation is a
   * large share of the memory: with few generations a full margin would leave
   * most of the memory unused to avoid a rare preemption.
   *
   * @param options - Margin and memory
   * @param candidate - A generation that would run in addition
   * @returns Peak memory use, in tokens
   */
  predict(
    options: PredictPeakOptions,
    candidate?: PredictedGeneration,
  ): number {
    const {deviations, capacityTokens} = options;
    const heldTokens =
      candidate === undefined
        ? 0
        : candidate.promptTokens + candidate.generatedTokens;
    const survival = candidate === undefined ? 1 : currentSurvival(candidate);
    const relativeError =
      candidate === undefined ? 0 : sharedRelativeError(candidate);
    let peak = 0;
    for (let index = 0; index < HORIZONS_STEPS.length; index += 1) {
      const steps = HORIZONS_STEPS[index] as number;
      let mean = this.means[index] as number;
      let variance = this.variances[index] as number;
      let shared = this.sharedDeviations[index] as number;
      if (candidate !== undefined) {
        const probability = probabilityOfRunning(candidate, steps, survival);
        const memoryTokens = heldTokens + steps;
        mean += probability * memoryTokens;
        variance +=
          probability * (1 - probability) * memoryTokens * memoryTokens;
        shared +=
          relativeError *
          Math.sqrt(probability * (1 - probability)) *
          memoryTokens;
      }
      const deviation = Math.sqrt(variance + shared * shared);
      const damping = 1 + (MARGIN_DAMPING * deviation) / capacityTokens;
      peak = Math.max(peak, mean + (deviations * deviation) / damping);
    }
    return peak;
  }

  private accumulate(generation: PredictedGeneration, sign: 1 | -1): void {
    const heldTokens = generation.promptTokens + generation.generatedTokens;
    const survival = currentSurvival(generation);
    const relativeError = sharedRelativeError(generation);
    for (let index = 0; index < HORIZONS_STEPS.length; index += 1) {
      const steps = HORIZONS_STEPS[index] as number;
      const probability = probabilityOfRunning(generation, steps, survival);
      const memoryTokens = heldTokens + steps;
      const shared =
        relativeError *
        Math.sqrt(probability * (1 - probability)) *
        memoryTokens;
      this.sharedDeviations[index] = Math.max(
        0,
        (this.sharedDeviations[index] as number) + sign * shared,
      );
      const variance =
        probability * (1 - probability) * memoryTokens * memoryTokens;
      const newMean =
        (this.means[index] as number) + sign * probability * memoryTokens;
      const newVariance = (this.variances[index] as number) + sign * variance;
      this.means[index] = Math.max(0, newMean);
      this.variances[index] = Math.max(0, newVariance);
    }
  }
}

/**
 * Relative error of the length distribution, from its number of observations:
 * twice the sampling error of a probability of one half.
 */
function sharedRelativeError(generation: PredictedGeneration): number {
  return 1 / Math.sqrt(1 + generation.distribution.effectiveObservations);
}

/** Probability that a generation grows beyond its present length. */
function currentSurvival(generation: PredictedGeneration): number {
  return generation.distribution.survivalBeyond(generation.generatedTokens);
}

/** Probability that a running generation still runs after some steps. */
function probabilityOfRunning(
  generation: PredictedGeneration,
  steps: number,
  survival: number,
): number {
  const length = generation.generatedTokens + steps;
  if (
    generation.maximumTokens !== undefined &&
    length > generation.maximumTokens
  ) {
    return 0;
  }
  return generation.distribution.survivalBeyond(length) / survival;
}
