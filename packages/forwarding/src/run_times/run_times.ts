/**
 * How long runs take at engines.
 */

/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.1;

/** Maximum number of averages; routes come and go. */
const MAXIMUM_AVERAGES = 256;

/** Averages the time per output token of runs by route, without their waits. */
export class RunTimes {
  private readonly perTokenByRoute = new Map<string, number>();

  /**
   * Records a run that has ended.
   *
   * @param route - Name of the route
   * @param tokens - Tokens that it generated; 0 for a call
   * @param milliseconds - Time since it was sent
   */
  record(route: string, tokens: number, milliseconds: number): void {
    const sample = milliseconds / Math.max(1, tokens);
    const previous = this.perTokenByRoute.get(route);
    if (previous === undefined) {
      this.removeOldest();
    }
    const average =
      previous === undefined
        ? sample
        : previous + SAMPLE_WEIGHT * (sample - previous);
    this.perTokenByRoute.set(route, average);
  }

  /**
   * Estimates the duration of a run.
   *
   * @param route - Name of the route
   * @param tokens - Tokens that it is expected to generate
   * @returns Milliseconds; 0 while no run of the route has ended
   */
  estimate(route: string, tokens: number): number {
    return (this.perTokenByRoute.get(route) ?? 0) * Math.max(1, tokens);
  }

  private removeOldest(): void {
    const [oldest] = this.perTokenByRoute.keys();
    if (oldest !== undefined && this.perTokenByRoute.size >= MAXIMUM_AVERAGES) {
      this.perTokenByRoute.delete(oldest);
    }
  }
}
