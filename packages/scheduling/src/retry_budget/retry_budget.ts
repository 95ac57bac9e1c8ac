/**
 * A limit on retries.
 */
import {RETRY_BURST} from '../constants.js';

/**
 * Allows retries as a share of first attempts.
 *
 * When many endpoints die at once, first attempts do not grow, so neither do
 * retries.
 */
export class RetryBudget {
  private available: number;

  /**
   * @param ratio - Retries for each first attempt
   * @param burst - Retries that are held when nothing has been sent for long
   */
  constructor(
    private ratio: number,
    private readonly burst = RETRY_BURST,
  ) {
    this.available = burst;
  }

  /** Sets the retries for each first attempt. */
  setRatio(ratio: number): void {
    this.ratio = ratio;
  }

  /** Notes a first attempt. */
  noteFirstAttempt(): void {
    this.available = Math.min(this.burst, this.available + this.ratio);
  }

  /** Takes one retry; false when the budget is spent. */
  tryTake(): boolean {
    if (this.available < 1) {
      return false;
    }
    this.available -= 1;
    return true;
  }
}
