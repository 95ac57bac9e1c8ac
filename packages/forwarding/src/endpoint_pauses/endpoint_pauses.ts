/**
 * Times until which endpoints accept no request from this gateway.
 */

/**
 * Keeps the times that endpoints state when they refuse a request. A pause lasts
 * to its end even if the entry of its endpoint lapses, as it may return.
 */
export class EndpointPauses {
  /** Ends of the pauses by endpoint, on the monotonic clock. */
  private readonly pausedUntil = new Map<string, number>();

  /**
   * @param now - Returns the monotonic time, in milliseconds
   */
  constructor(private readonly now: () => number) {}

  /** Records that an endpoint accepts no request for some time. */
  record(endpointId: string, milliseconds: number): void {
    const until = this.now() + milliseconds;
    const before = this.pausedUntil.get(endpointId) ?? until;
    this.pausedUntil.set(endpointId, Math.max(before, until));
    this.forgetEnded();
  }

  /** Computes the time until an endpoint accepts requests; 0 if it does. */
  computeWaitMilliseconds(endpointId: string): number {
    const until = this.pausedUntil.get(endpointId);
    return until === undefined ? 0 : Math.max(0, until - this.now());
  }

  private forgetEnded(): void {
    const now = this.now();
    for (const [endpointId, until] of this.pausedUntil) {
      if (until <= now) {
        this.pausedUntil.delete(endpointId);
      }
    }
  }
}
