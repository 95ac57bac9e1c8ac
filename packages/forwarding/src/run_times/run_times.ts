/**
 * How long runs take at engines.
 */

/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.1;

/** Maximum number of averages; routes come and go. */
const MAXIMUM_AVERAGES = 256;

/** Averages over the runs of a route. */
interface MeanRun {
  readonly milliseconds: number;
  readonly tokens: number;
}

/**
 * Averages the time and the output of runs by route, without their waits. The
 * time per token is the ratio of these means: a mean of the ratios would give a
 * run that broke after its first event the weight of a whole one, although most of
 * its time went into its prompt.
 */
export class RunTimes {
  private readonly meanByRoute = new Map<string, MeanRun>();

  /**
   * Records a run that has ended.
   *
   * @param route - Name of the route
   * @param outputTokens - Tokens that it generated; 0 for a call
   * @param milliseconds - Time since it was sent
   */
  record(route: string, outputTokens: number, milliseconds: number): void {
    const tokens = Math.max(1, outputTokens);
    const previous = this.meanByRoute.get(route);
    if (previous === undefined) {
      this.removeOldest();
    }
    const mean = previous ?? {milliseconds, tokens};
    this.meanByRoute.set(route, {
      milliseconds: average(mean.milliseconds, milliseconds),
      tokens: average(mean.tokens, tokens),
    });
  }

  /**
   * Estimates the duration of a run.
   *
   * @param route - Name of the route
   * @param tokens - Tokens that it is expected to generate
   * @returns Milliseconds; 0 while no run of the route has ended
   */
  estimate(route: string, tokens: number): number {
    const mean = this.meanByRoute.get(route);
    return mean === undefined
      ? 0
      : (mean.milliseconds * Math.max(1, tokens)) / mean.tokens;
  }

  private removeOldest(): void {
    const [oldest] = this.meanByRoute.keys();
    if (oldest !== undefined && this.meanByRoute.size >= MAXIMUM_AVERAGES) {
      this.meanByRoute.delete(oldest);
    }
  }
}

function average(mean: number, sample: number): number {
  return mean + SAMPLE_WEIGHT * (sample - mean);
}
