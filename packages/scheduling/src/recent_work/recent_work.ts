/**
 * Work that organisations have received lately.
 */

/** Time for which work counts as recent. */
const WINDOW_MILLISECONDS = 3_000;

/** Work is summed over intervals of this length. */
const INTERVAL_MILLISECONDS = 500;

/** Work of one interval by organisation, in tokens. */
interface Interval {
  readonly startedAt: number;
  readonly tokens: Map<string, number>;
}

/**
 * Sums the work of organisations over the last seconds. Older work is
 * forgotten, so that an organisation that used idle capacity for a long time is
 * not set back for as long once others need it.
 */
export class RecentWork {
  private intervals: Interval[] = [];

  /**
   * Adds work.
   *
   * @param organisation - The organisation that received it
   * @param tokens - Prompt and output tokens
   * @param now - Monotonic time, in milliseconds
   */
  add(organisation: string, tokens: number, now: number): void {
    this.removeOld(now);
    let interval = this.intervals.at(-1);
    if (
      interval === undefined ||
      now - interval.startedAt >= INTERVAL_MILLISECONDS
    ) {
      interval = {startedAt: now, tokens: new Map()};
      this.intervals.push(interval);
    }
    const previous = interval.tokens.get(organisation) ?? 0;
    interval.tokens.set(organisation, previous + tokens);
  }

  /** Returns the recent work by organisation, in tokens. */
  sum(now: number): ReadonlyMap<string, number> {
    this.removeOld(now);
    const sums = new Map<string, number>();
    for (const interval of this.intervals) {
      for (const [organisation, tokens] of interval.tokens) {
        sums.set(organisation, (sums.get(organisation) ?? 0) + tokens);
      }
    }
    return sums;
  }

  private removeOld(now: number): void {
    const [oldest] = this.intervals;
    if (oldest !== undefined && now - oldest.startedAt >= WINDOW_MILLISECONDS) {
      this.intervals = this.intervals.filter(
        ({startedAt}) => now - startedAt < WINDOW_MILLISECONDS,
      );
    }
  }
}
