/**
 * Rate at which work leaves a queue.
 */

/** Time of waiting after which earlier starts count for a third. */
const DECAY_MILLISECONDS = 10_000;

/** Time of waiting that must be observed before a wait is predicted. */
const MINIMUM_OBSERVED_MILLISECONDS = 1_500;

/**
 * Measures the rate of starts while requests wait. Time without waiting
 * requests does not count, because starts then show the demand and not the
 * capacity.
 */
export class StartRate {
  private startedTokens = 0;
  private observedMilliseconds = 0;
  private observedAt: number | undefined;
  /** True if requests waited in the time before the last observation. */
  private hasWaited = false;

  /**
   * Advances the time; called before each change of the queue.
   *
   * @param isWaiting - Whether requests have waited since the last call
   * @param now - Monotonic time, in milliseconds
   */
  observe(isWaiting: boolean, now: number): void {
    const elapsed = now - (this.observedAt ?? now);
    this.observedAt = now;
    if (elapsed > 0) {
      this.hasWaited = isWaiting;
    }
    if (isWaiting && elapsed > 0) {
      const kept = Math.exp(-elapsed / DECAY_MILLISECONDS);
      this.startedTokens *= kept;
      this.observedMilliseconds = this.observedMilliseconds * kept + elapsed;
    }
  }

  /** Records a start; counts if requests have waited before it. */
  recordStart(tokens: number): void {
    if (this.hasWaited) {
      this.startedTokens += tokens;
    }
  }

  /**
   * Predicts the time in which an amount of work starts.
   *
   * @param tokens - Work ahead of a request and its own
   * @param ownTokens - Work of the request. It counts as started already, since
   *   the start of a large request may be due at any moment
   * @returns Milliseconds; 0 while too little has been observed
   */
  predictMilliseconds(tokens: number, ownTokens: number): number {
    if (this.observedMilliseconds < MINIMUM_OBSERVED_MILLISECONDS) {
      return 0;
    }
    const started = this.startedTokens + ownTokens;
    return (tokens * this.observedMilliseconds) / Math.max(1, started);
  }
}
