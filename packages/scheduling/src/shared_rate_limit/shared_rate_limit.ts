/**
 * Rate limit that several processes share without a coordinator.
 */

/** Longest burst, in seconds of the rate. */
const BURST_SECONDS = 1;

/** Least burst, so that a rate below one a second can be used at all. */
const MINIMUM_BURST = 2;

/**
 * Least rate: a limit of 0 still admits a request now and then, without which
 * nobody would notice its end.
 */
const MINIMUM_REQUESTS_PER_SECOND = 0.1;

/** Options of {@link SharedRateLimit}. */
export interface SharedRateLimitOptions {
  /** Requests per second of all processes together. */
  readonly requestsPerSecond: number;
  /** Monotonic time, in milliseconds. */
  readonly now: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/**
 * Token bucket that is charged for the requests of all processes: by each one
 * for its own at once, and for those of the others as they report them.
 *
 * Requests that several processes admit before they hear of each other's make
 * the level negative, so that the rate holds on average. A request needs a level
 * that is drawn anew after each charge; processes therefore do not all admit one
 * at the moment in which the level reaches a whole request.
 */
export class SharedRateLimit {
  private requestsPerSecond: number;
  private level = 1;
  private refilledAt: number;
  private neededLevel: number;

  /**
   * @param options - Rate, clock and random source
   */
  constructor(private readonly options: SharedRateLimitOptions) {
    this.requestsPerSecond = toUsableRate(options.requestsPerSecond);
    this.refilledAt = options.now();
    this.neededLevel = this.drawNeededLevel();
  }

  /** Sets the rate, in requests per second of all processes together. */
  setRate(requestsPerSecond: number): void {
    this.refill();
    this.requestsPerSecond = toUsableRate(requestsPerSecond);
  }

  /** Returns whether a request may be sent now. */
  hasCapacity(): boolean {
    this.refill();
    return this.level >= this.neededLevel;
  }

  /** Computes the milliseconds until a request may be sent; 0 if it may now. */
  computeWaitMilliseconds(): number {
    this.refill();
    const missing = Math.max(0, this.neededLevel - this.level);
    return (missing / this.requestsPerSecond) * 1_000;
  }

  /** Charges requests that this process or another one has sent. */
  charge(requests: number): void {
    this.refill();
    this.level = Math.max(-this.burst, this.level - requests);
    this.neededLevel = this.drawNeededLevel();
  }

  private get burst(): number {
    return Math.max(MINIMUM_BURST, this.requestsPerSecond * BURST_SECONDS);
  }

  private refill(): void {
    const now = this.options.now();
    const refilled = ((now - this.refilledAt) / 1_000) * this.requestsPerSecond;
    this.level = Math.min(this.burst, this.level + refilled);
    this.refilledAt = now;
  }

  private drawNeededLevel(): number {
    return 1 + this.options.random();
  }
}

function toUsableRate(requestsPerSecond: number): number {
  return Math.max(MINIMUM_REQUESTS_PER_SECOND, requestsPerSecond);
}
