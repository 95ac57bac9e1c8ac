/**
 * Retry budget over a sliding window, for processes that share no state.
 */

/** Options of {@link WindowedRetryBudget}. */
export interface WindowedRetryBudgetOptions {
  /** Retries allowed per first attempt. */
  readonly ratio: number;
  /** Length of the window in which first attempts and retries are counted. */
  readonly windowMilliseconds: number;
  /** Returns the retries currently allowed per window on top of the ratio. */
  readonly reserve: () => number;
  /** Returns the time of a monotonic clock, in milliseconds. */
  readonly now: () => number;
}

/**
 * Limits retries to a share of the first attempts in a sliding window.
 *
 * The budget starts empty and carries nothing over from before the window.
 * Regardless of the number of processes and of their restarts, the retries
 * that the ratio allows them in total never exceed that share of their first
 * attempts.
 */
export class WindowedRetryBudget {
  private readonly firstAttempts: SlidingWindowCounter;
  private readonly retries: SlidingWindowCounter;

  /**
   * @param options - Ratio, window, reserve and clock
   */
  constructor(private readonly options: WindowedRetryBudgetOptions) {
    this.firstAttempts = new SlidingWindowCounter(options.windowMilliseconds);
    this.retries = new SlidingWindowCounter(options.windowMilliseconds);
  }

  /** Retries currently available; may be fractional, never below 0. */
  get remaining(): number {
    const {ratio, reserve} = this.options;
    const now = this.options.now();
    const allowed = ratio * this.firstAttempts.count(now) + reserve();
    return Math.max(0, allowed - this.retries.count(now));
  }

  /** Records a first attempt, which makes `ratio` retries available. */
  recordFirstAttempt(): void {
    this.firstAttempts.add(this.options.now());
  }

  /**
   * Acquires one retry.
   *
   * @returns False when the budget is exhausted
   */
  tryAcquire(): boolean {
    if (this.remaining < 1) {
      return false;
    }
    this.retries.add(this.options.now());
    return true;
  }
}

/** Counts the events in a sliding window that ends at the current time. */
class SlidingWindowCounter {
  private timestamps: number[] = [];
  /** Index of the oldest timestamp inside the window. */
  private oldestIndex = 0;

  constructor(private readonly windowMilliseconds: number) {}

  add(now: number): void {
    this.evictExpired(now);
    this.timestamps.push(now);
  }

  count(now: number): number {
    this.evictExpired(now);
    return this.timestamps.length - this.oldestIndex;
  }

  /** Evicts the timestamps that are older than the window. */
  private evictExpired(now: number): void {
    const cutoff = now - this.windowMilliseconds;
    while (
      (this.timestamps[this.oldestIndex] ?? Number.POSITIVE_INFINITY) <= cutoff
    ) {
      this.oldestIndex += 1;
    }
    if (this.oldestIndex > this.timestamps.length / 2) {
      this.timestamps = this.timestamps.slice(this.oldestIndex);
      this.oldestIndex = 0;
    }
  }
}
