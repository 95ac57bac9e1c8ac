/**
 * Times until which endpoints accept no request from this gateway.
 */

/** Keeps the times that endpoints state when they refuse a request. */
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
  }

  /** Computes the time until an endpoint accepts requests; 0 if it does. */
  computeWaitMilliseconds(endpointId: string): number {
    const until = this.pausedUntil.get(endpointId);
    if (until === undefined) {
      return 0;
    }
    const wait = until - this.now();
    if (wait <= 0) {
      this.pausedUntil.delete(endpointId);
    }
    return Math.max(0, wait);
  }

  /** Removes the pause of an endpoint that has left. */
  remove(endpointId: string): void {
    this.pausedUntil.delete(endpointId);
  }
}
