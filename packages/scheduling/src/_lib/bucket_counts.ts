/**
 * Exponentially decayed counts of generations by length bucket.
 */
import {LENGTH_BUCKETS} from '../constants.js';

const RESCALE_ABOVE = 1e12;
/** Observed or expected ends that a bucket needs to be compared. */
const MINIMUM_COMPARED_ENDS = 1;

/**
 * Counts of generations that ended in each bucket or grew beyond it. The
 * counts decay with each generation that ends.
 *
 * Instead of scaling down old counts, each new one is added with a larger
 * increment; every value that is read is divided by the current increment.
 */
export class BucketCounts {
  private readonly ended = new Float64Array(LENGTH_BUCKETS);
  private readonly passed = new Float64Array(LENGTH_BUCKETS);
  private readonly growth: number;
  private increment = 1;
  private total = 0;
  private totalTokens = 0;

  /**
   * @param decayGenerations - Generations after which a count decays to 1/e
   */
  constructor(decayGenerations: number) {
    this.growth = Math.exp(1 / decayGenerations);
  }

  /** Decayed number of generations that ended. */
  get weight(): number {
    return this.total / this.increment;
  }

  /** Decayed sum of their lengths, in tokens. */
  get tokens(): number {
    return this.totalTokens / this.increment;
  }

  /** Returns the decayed number of generations that ended in a bucket. */
  endedAt(bucket: number): number {
    return (this.ended[bucket] as number) / this.increment;
  }

  /** Returns the decayed number of generations that grew beyond a bucket. */
  passedAt(bucket: number): number {
    return (this.passed[bucket] as number) / this.increment;
  }

  /** Counts a generation that ended in a bucket with a length in tokens. */
  countEnded(bucket: number, tokens: number): void {
    this.increment *= this.growth;
    this.ended[bucket] = (this.ended[bucket] as number) + this.increment;
    this.total += this.increment;
    this.totalTokens += this.increment * tokens;
    if (this.increment > RESCALE_ABOVE) {
      this.scaleTo(1);
    }
  }

  /**
   * Counts a generation that grew beyond buckets.
   *
   * @param start - First bucket
   * @param end - Bucket after the last one
   */
  countPassed(start: number, end: number): void {
    for (let bucket = start; bucket < end; bucket += 1) {
      this.passed[bucket] = (this.passed[bucket] as number) + this.increment;
    }
  }

  /**
   * Computes how unlikely these counts are under the distribution of others.
   *
   * @param others - Counts over a longer time
   * @returns The likelihood ratio statistic divided by the number of buckets
   *     compared; about 1 when both follow the same distribution
   */
  divergenceFrom(others: BucketCounts): number {
    let statistic = 0;
    let compared = 0;
    for (let bucket = 0; bucket < LENGTH_BUCKETS; bucket += 1) {
      const ended = this.endedAt(bucket);
      const passed = this.passedAt(bucket);
      const reached = ended + passed;
      const allEnded = others.endedAt(bucket);
      const all = allEnded + others.passedAt(bucket);
      const expected = (allEnded + 0.5) / (all + 1);
      if (Math.max(ended, reached * expected) < MINIMUM_COMPARED_ENDS) {
        // A bucket in which no generation ends carries no evidence.
        continue;
      }
      const own = (ended + 0.5) / (reached + 1);
      statistic += 2 * ended * Math.log(own / expected);
      statistic += 2 * passed * Math.log((1 - own) / (1 - expected));
      compared += 1;
    }
    return compared === 0 ? 0 : statistic / compared;
  }

  /** Copies the counts into an instance with another rate of decay. */
  copyWithDecay(decayGenerations: number): BucketCounts {
    const copy = new BucketCounts(decayGenerations);
    copy.ended.set(this.ended);
    copy.passed.set(this.passed);
    copy.total = this.total;
    copy.totalTokens = this.totalTokens;
    copy.increment = this.increment;
    copy.scaleTo(1);
    return copy;
  }

  private scaleTo(increment: number): void {
    const factor = increment / this.increment;
    for (let bucket = 0; bucket < LENGTH_BUCKETS; bucket += 1) {
      this.ended[bucket] = (this.ended[bucket] as number) * factor;
      this.passed[bucket] = (this.passed[bucket] as number) * factor;
    }
    this.total *= factor;
    this.totalTokens *= factor;
    this.increment = increment;
  }
}
