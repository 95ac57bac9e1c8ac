/**
 * Online estimate of the output lengths of similar generations.
 */
import {BucketCounts} from '../_lib/bucket_counts.js';
import {
  LENGTH_BUCKETS,
  LENGTH_BUCKETS_PER_DOUBLING,
  LENGTH_CHANGE_CHECK_OBSERVATIONS,
  LENGTH_CHANGE_THRESHOLD,
  LENGTH_DECAY_GENERATIONS,
  LENGTH_PRIOR_MEDIAN_TOKENS,
  LENGTH_PRIOR_OBSERVATIONS,
  LENGTH_RECENT_DECAY_GENERATIONS,
} from '../constants.js';

/**
 * A decayed histogram of output lengths, in tokens.
 *
 * The bucket width grows with the length, so that a few tokens and tens of
 * thousands fit into the same small array. Each bucket counts the generations
 * that ended inside it and those that passed it; the survival function is the
 * product of the probabilities of passing each bucket. Passing is counted while
 * a generation runs, so that a burst of long generations is detected before the
 * first of them ends. A heavy-tailed prior of low weight applies where nothing
 * has been observed.
 *
 * A second histogram with a faster decay is compared with the first one. When
 * the two differ by more than chance explains, the distribution has shifted,
 * and the older counts are discarded.
 */
export class LengthDistribution {
  private longTerm = new BucketCounts(LENGTH_DECAY_GENERATIONS);
  private recent = new BucketCounts(LENGTH_RECENT_DECAY_GENERATIONS);
  private readonly survival = new Float64Array(LENGTH_BUCKETS + 1);
  private observationCount = 0;
  private isStale = true;

  /** Number of lengths observed so far. */
  get observations(): number {
    return this.observationCount;
  }

  /** Effective number of observations after decay. */
  get effectiveObservations(): number {
    return this.longTerm.weight;
  }

  /**
   * Computes the mean of the observed lengths, smoothed with a prior.
   *
   * @param priorMean - Mean of the prior, in tokens
   * @returns Mean length, in tokens
   */
  computeMean(priorMean: number): number {
    const prior = LENGTH_PRIOR_OBSERVATIONS;
    const tokens = this.longTerm.tokens + prior * priorMean;
    return tokens / (this.longTerm.weight + prior);
  }

  /**
   * Records a finished generation.
   *
   * @param tokens - Its length
   * @param recordedTokens - Progress already recorded for it by
   *     {@link recordProgress}, in tokens
   */
  observe(tokens: number, recordedTokens = 0): void {
    this.recordProgress(recordedTokens, tokens);
    const bucket = toBucket(tokens);
    this.longTerm.countEnded(bucket, tokens);
    this.recent.countEnded(bucket, tokens);
    this.observationCount += 1;
    if (this.observationCount % LENGTH_CHANGE_CHECK_OBSERVATIONS === 0) {
      this.resetOnDistributionShift();
    }
  }

  /**
   * Records the progress of a running generation.
   *
   * @param fromTokens - Tokens at the previous call for it; 0 at the first
   * @param toTokens - Current tokens
   */
  recordProgress(fromTokens: number, toTokens: number): void {
    const start = toBucket(fromTokens);
    const end = toBucket(toTokens);
    this.longTerm.countPassed(start, end);
    this.recent.countPassed(start, end);
    this.isStale = true;
  }

  /**
   * Computes the probability that a generation is longer than a length.
   *
   * @param tokens - The length
   * @returns Probability above 0
   */
  survivalBeyond(tokens: number): number {
    if (this.isStale) {
      this.recomputeSurvival();
    }
    const position = toBucketPosition(tokens);
    const bucket = Math.floor(position);
    const fraction = position - bucket;
    const from = this.survival[bucket] ?? 0;
    const to = this.survival[bucket + 1] ?? 0;
    return from + (to - from) * fraction;
  }

  private resetOnDistributionShift(): void {
    if (this.recent.divergenceFrom(this.longTerm) > LENGTH_CHANGE_THRESHOLD) {
      this.longTerm = this.recent.copyWithDecay(LENGTH_DECAY_GENERATIONS);
      this.isStale = true;
    }
  }

  private recomputeSurvival(): void {
    this.isStale = false;
    let survival = 1;
    this.survival[0] = 1;
    for (let bucket = 0; bucket < LENGTH_BUCKETS; bucket += 1) {
      const priorStart = PRIOR_SURVIVAL[bucket] ?? 0;
      const priorPassed = PRIOR_SURVIVAL[bucket + 1] ?? 0;
      const prior = LENGTH_PRIOR_OBSERVATIONS;
      const passed = this.longTerm.passedAt(bucket) + prior * priorPassed;
      const ended =
        this.longTerm.endedAt(bucket) + prior * (priorStart - priorPassed);
      survival *= passed / (passed + ended);
      this.survival[bucket + 1] = survival;
    }
  }
}

function toBucketPosition(tokens: number): number {
  if (tokens <= 1) {
    return 0;
  }
  const position = Math.log2(tokens) * LENGTH_BUCKETS_PER_DOUBLING;
  return Math.min(position, LENGTH_BUCKETS - 1);
}

function toBucket(tokens: number): number {
  return Math.floor(toBucketPosition(tokens));
}

function toTokens(bucket: number): number {
  return bucket === 0 ? 0 : 2 ** (bucket / LENGTH_BUCKETS_PER_DOUBLING);
}

/** Probability under the prior of reaching the start of each bucket. */
const PRIOR_SURVIVAL: readonly number[] = Array.from(
  {length: LENGTH_BUCKETS + 1},
  (_, bucket) => 1 / (1 + toTokens(bucket) / LENGTH_PRIOR_MEDIAN_TOKENS),
);
