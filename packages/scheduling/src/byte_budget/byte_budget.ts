/**
 * Rate limit for billed traffic.
 */

/** Capacity of the bucket, in seconds of its rate. */
const BURST_SECONDS = 5;

/**
 * Token bucket that limits the bytes sent and received between regions.
 *
 * The level may become negative, as bytes are charged after their transfer.
 */
export class ByteBudget {
  private available: number;
  private refilledAt: number;

  /**
   * @param bytesPerSecond - Refill rate
   * @param now - Current time, in milliseconds since the epoch
   */
  constructor(
    private bytesPerSecond: number,
    now: number,
  ) {
    this.available = bytesPerSecond * BURST_SECONDS;
    this.refilledAt = now;
  }

  /** Sets the refill rate, in bytes per second. */
  setRate(bytesPerSecond: number): void {
    this.bytesPerSecond = bytesPerSecond;
  }

  /**
   * Returns whether the budget is not exhausted.
   *
   * @param now - Current time, in milliseconds since the epoch
   */
  hasRemaining(now: number): boolean {
    this.refill(now);
    return this.available > 0;
  }

  /** Charges bytes that were sent or received, even beyond the budget. */
  charge(bytes: number): void {
    this.available -= bytes;
  }

  private refill(now: number): void {
    const refilledBytes =
      ((now - this.refilledAt) / 1_000) * this.bytesPerSecond;
    const capacity = this.bytesPerSecond * BURST_SECONDS;
    this.available = Math.min(capacity, this.available + refilledBytes);
    this.refilledAt = now;
  }
}
