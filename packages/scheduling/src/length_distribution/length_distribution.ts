/**
 * What is known of the length of generations of one kind.
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
 * Buckets grow with the length, so that a few tokens and tens of thousands fit
 * in the same small space. For each bucket it counts the generations that
 * ended inside and those that went past; survival is the product of the
 * chances to get past each. Going past counts when it happens, so a wave of
 * long generations is noticed before the first of them ends. A heavy-tailed
 * prior of little weight stands where nothing has been observed.
 *
 * A second, shorter memory is compared with the long one. When the two differ
 * by more than chance explains, the lengths have changed, and what the long
 * memory holds from before is dropped.
 */
export class LengthDistribution {
  private long = new BucketCounts(LENGTH_DECAY_GENERATIONS);
  private recent = new BucketCounts(LENGTH_RECENT_DECAY_GENERATIONS);
  private readonly survival = new Float64Array(LENGTH_BUCKETS + 1);
  private observed = 0;
  private isStale = true;

  /** Lengths observed so far. */
  get observations(): number {
    return this.observed;
  }

  /** Observations that the decayed counts are worth. */
  get effectiveObservations(): number {
    return this.long.weight;
  }

  /**
   * Mean of the observed lengths.
   *
   * @param expected - Mean where nothing has been observed, in tokens
   * @returns Tokens
   */
  meanOr(expected: number): number {
    const prior = LENGTH_PRIOR_OBSERVATIONS;
    const tokens = this.long.tokens + prior * expected;
    return tokens / (this.long.weight + prior);
  }

  /**
   * Learns from a finished generation.
   *
   * @param tokens - Its length
   * @param notedTokens - Tokens of it that {@link notePassed} was told of
   */
  observe(tokens: number, notedTokens = 0): void {
    this.notePassed(notedTokens, tokens);
    const bucket = toBucket(tokens);
    this.long.countEnded(bucket, tokens);
    this.recent.countEnded(bucket, tokens);
    this.observed += 1;
    if (this.observed % LENGTH_CHANGE_CHECK_OBSERVATIONS === 0) {
      this.adoptChange();
    }
  }

  /**
   * Learns from the progress of a generation that runs.
   *
   * @param fromTokens - Tokens at the last call for it; 0 at the first
   * @param toTokens - Tokens now
   */
  notePassed(fromTokens: number, toTokens: number): void {
    const start = toBucket(fromTokens);
    const end = toBucket(toTokens);
    this.long.countPassed(start, end);
    this.recent.countPassed(start, end);
    this.isStale = true;
  }

  /**
   * Computes the chance that a generation is longer than a length.
   *
   * @param tokens - The length
   * @returns A probability above 0
   */
  survivalBeyond(tokens: number): number {
    if (this.isStale) {
      this.refresh();
    }
    const position = toBucketPosition(tokens);
    const bucket = Math.floor(position);
    const fraction = position - bucket;
    const from = this.survival[bucket] ?? 0;
    const to = this.survival[bucket + 1] ?? 0;
    return from + (to - from) * fraction;
  }

  private adoptChange(): void {
    if (this.recent.divergenceFrom(this.long) > LENGTH_CHANGE_THRESHOLD) {
      this.long = this.recent.copyWithDecay(LENGTH_DECAY_GENERATIONS);
      this.isStale = true;
    }
  }

  private refresh(): void {
    this.isStale = false;
    let survival = 1;
    this.survival[0] = 1;
    for (let bucket = 0; bucket < LENGTH_BUCKETS; bucket += 1) {
      const priorStart = PRIOR_SURVIVAL[bucket] ?? 0;
      const priorPassed = PRIOR_SURVIVAL[bucket + 1] ?? 0;
      const prior = LENGTH_PRIOR_OBSERVATIONS;
      const passed = this.long.passedAt(bucket) + prior * priorPassed;
      const ended =
        this.long.endedAt(bucket) + prior * (priorStart - priorPassed);
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

/** Chance under the prior to outlive the start of each bucket. */
const PRIOR_SURVIVAL: readonly number[] = Array.from(
  {length: LENGTH_BUCKETS + 1},
  (_, bucket) => 1 / (1 + toTokens(bucket) / LENGTH_PRIOR_MEDIAN_TOKENS),
);
