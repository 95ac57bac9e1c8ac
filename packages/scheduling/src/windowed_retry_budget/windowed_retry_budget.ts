/**
 * A limit on retries that holds for processes that know nothing of one another.
 */

/** Options of {@link WindowedRetryBudget}. */
export interface WindowedRetryBudgetOptions {
  /** Retries for each first attempt. */
  readonly ratio: number;
  /** Length of the window in which both are counted. */
  readonly windowMilliseconds: number;
  /** Retries that are allowed in a window beside the ratio, as of now. */
  readonly reserve: () => number;
  /** Milliseconds of a clock that never goes back. */
  readonly now: () => number;
}

/**
 * Allows retries as a share of the first attempts of a sliding window.
 *
 * Nothing is held at the start, and nothing is kept from before the window:
 * however often processes start again, and however many there are, their
 * retries by the ratio are together no more than the same share of their first
 * attempts.
 */
export class WindowedRetryBudget {
  private readonly firstAttempts: SlidingCount;
  private readonly retries: SlidingCount;

  /**
   * @param options - The share and the window
   */
  constructor(private readonly options: WindowedRetryBudgetOptions) {
    this.firstAttempts = new SlidingCount(options.windowMilliseconds);
    this.retries = new SlidingCount(options.windowMilliseconds);
  }

  /** Retries that may be taken now; not whole, and never below 0. */
  get left(): number {
    const {ratio, reserve} = this.options;
    const now = this.options.now();
    const allowed = ratio * this.firstAttempts.count(now) + reserve();
    return Math.max(0, allowed - this.retries.count(now));
  }

  /** Notes a first attempt. */
  noteFirstAttempt(): void {
    this.firstAttempts.add(this.options.now());
  }

  /** Takes one retry; false when the budget is spent. */
  tryTake(): boolean {
    if (this.left < 1) {
      return false;
    }
    this.retries.add(this.options.now());
    return true;
  }
}

/** Counts what has happened in a window that ends now. */
class SlidingCount {
  private times: number[] = [];
  /** Index of the oldest time that counts. */
  private first = 0;

  constructor(private readonly windowMilliseconds: number) {}

  add(now: number): void {
    this.forget(now);
    this.times.push(now);
  }

  count(now: number): number {
    this.forget(now);
    return this.times.length - this.first;
  }

  /** Drops what is older than the window. */
  private forget(now: number): void {
    const since = now - this.windowMilliseconds;
    while ((this.times[this.first] ?? Number.POSITIVE_INFINITY) <= since) {
      this.first += 1;
    }
    if (this.first > this.times.length / 2) {
      this.times = this.times.slice(this.first);
      this.first = 0;
    }
  }
}
