/**
 * Retry budget that is refilled by first attempts.
 */
import {RETRY_BURST} from '../constants.js';

/**
 * Limits retries to a share of the first attempts.
 *
 * When many endpoints crash at once, the number of first attempts does not
 * grow, so the number of retries does not grow either.
 */
export class RetryBudget {
  private available: number;

  /**
   * @param ratio - Retries allowed per first attempt
   * @param burst - Initial and maximum number of available retries
   */
  constructor(
    private ratio: number,
    private readonly burst = RETRY_BURST,
  ) {
    this.available = burst;
  }

  /** Sets the number of retries allowed per first attempt. */
  setRatio(ratio: number): void {
    this.ratio = ratio;
  }

  /** Records a first attempt, which adds `ratio` retries up to the burst. */
  recordFirstAttempt(): void {
    this.available = Math.min(this.burst, this.available + this.ratio);
  }

  /**
   * Acquires one retry.
   *
   * @returns False when the budget is exhausted
   */
  tryAcquire(): boolean {
    if (this.available < 1) {
      return false;
    }
    this.available -= 1;
    return true;
  }
}
