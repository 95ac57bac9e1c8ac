/**
 * Rate limit of the urgent work of each organisation.
 */
import {URGENT_BURST_SECONDS} from '../constants.js';

interface TokenBucket {
  /** Remaining allowance; below zero after a charge that exceeds it. */
  tokens: number;
  /** Milliseconds since the epoch. */
  refilledAt: number;
}

/**
 * One token bucket per organisation.
 *
 * Without a limit, organisations can declare all of their work urgent. Work
 * beyond the allowance is scheduled as standard work.
 */
export class UrgentAllowance {
  private readonly buckets = new Map<string, TokenBucket>();

  /** Number of organisations with a bucket. */
  get size(): number {
    return this.buckets.size;
  }

  /**
   * Returns whether an organisation has remaining allowance.
   *
   * @param organisation - The organisation
   * @param tokensPerSecond - Its allowance
   * @param now - Milliseconds since the epoch
   * @returns True when its next request is scheduled as urgent
   */
  hasRemaining(
    organisation: string,
    tokensPerSecond: number,
    now: number,
  ): boolean {
    return this.refill(organisation, tokensPerSecond, now).tokens > 0;
  }

  /**
   * Charges urgent work.
   *
   * @param organisation - The organisation
   * @param tokensPerSecond - Its allowance
   * @param tokens - Tokens to charge; the balance may become negative
   * @param now - Milliseconds since the epoch
   */
  charge(
    organisation: string,
    tokensPerSecond: number,
    tokens: number,
    now: number,
  ): void {
    this.refill(organisation, tokensPerSecond, now).tokens -= tokens;
  }

  private refill(
    organisation: string,
    tokensPerSecond: number,
    now: number,
  ): TokenBucket {
    const capacity = tokensPerSecond * URGENT_BURST_SECONDS;
    const existing = this.buckets.get(organisation);
    const bucket = existing ?? {tokens: capacity, refilledAt: now};
    const refilledTokens =
      ((now - bucket.refilledAt) / 1_000) * tokensPerSecond;
    bucket.tokens = Math.min(capacity, bucket.tokens + refilledTokens);
    bucket.refilledAt = now;
    this.buckets.set(organisation, bucket);
    return bucket;
  }
}
