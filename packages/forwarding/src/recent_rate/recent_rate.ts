/**
 * Rate of recent occurrences.
 */

/** Time after which an occurrence counts for a third. */
const DECAY_MILLISECONDS = 2_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Exponentially decayed count of occurrences. */
export class RecentRate {
  private count = 0;
  private countedAt: number;

  /**
   * @param now - Returns the monotonic time, in milliseconds
   */
  constructor(private readonly now: () => number) {
    this.countedAt = now();
  }

  /** Records one occurrence. */
  record(): void {
    this.count = this.computeDecayedCount() + 1;
    this.countedAt = this.now();
  }

  /** Returns the rate, in occurrences per second. */
  perSecond(): number {
    return (
      (this.computeDecayedCount() * MILLISECONDS_PER_SECOND) /
      DECAY_MILLISECONDS
    );
  }

  private computeDecayedCount(): number {
    const elapsed = this.now() - this.countedAt;
    return this.count * Math.exp(-elapsed / DECAY_MILLISECONDS);
  }
}
