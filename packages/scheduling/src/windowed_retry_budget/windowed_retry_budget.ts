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
  private readonly firstAttempts = new SlidingCount();
  private readonly retries = new SlidingCount();

  /**
   * @param options - The share and the window
   */
  constructor(private readonly options: WindowedRetryBudgetOptions) {}

  /** Retries that may be taken now; not whole, and never below 0. */
  get left(): number {
    const {ratio, windowMilliseconds, reserve, now} = this.options;
    const since = now() - windowMilliseconds;
    const allowed = ratio * this.firstAttempts.countSince(since) + reserve();
    return Math.max(0, allowed - this.retries.countSince(since));
  }

  /** Notes a first attempt. */
  noteFirstAttempt(): void {
    const now = this.options.now();
    this.firstAttempts.add(now);
    this.firstAttempts.countSince(now - this.options.windowMilliseconds);
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

/** Counts what happened since a time that only grows. */
class SlidingCount {
  private times: number[] = [];
  /** Index of the oldest time that counts. */
  private first = 0;

  add(now: number): void {
    this.times.push(now);
  }

  /** Forgets what is older, and counts the rest. */
  countSince(since: number): number {
    while ((this.times[this.first] ?? Number.POSITIVE_INFINITY) <= since) {
      this.first += 1;
    }
    if (this.first > this.times.length / 2) {
      this.times = this.times.slice(this.first);
      this.first = 0;
    }
    return this.times.length - this.first;
  }
}
