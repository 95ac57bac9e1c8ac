/**
 * Upper bound on the age of the data that a process has read from the store.
 */

/** Clocks of a machine. */
export interface MachineClocks {
  /** Monotonic time, in milliseconds; may exclude machine suspensions. */
  readonly monotonicMilliseconds: () => number;
  /** Wall-clock time, in milliseconds since the epoch; may jump. */
  readonly wallClockMilliseconds: () => number;
}

/**
 * Forward step of the wall clock above which a suspension is assumed; larger
 * than the slewing of a synchronized clock.
 */
const SUSPENSION_THRESHOLD_MILLISECONDS = 250;

/**
 * Tracks an upper bound on the age of the data last read from the store.
 *
 * A monotonic clock does not count the time for which a machine is suspended. A
 * forward step of the wall clock relative to the monotonic clock is therefore
 * added to the age. If the step was only a clock adjustment, the age is
 * overestimated until the next response.
 *
 * @example
 * const tracker = new StalenessTracker(clocks);
 * const startTime = tracker.readTime();
 * // The store responds to a read that was started at that time.
 * tracker.confirm(startTime);
 * tracker.ageMilliseconds(); //=> 12
 */
export class StalenessTracker {
  private confirmedAt = Number.NEGATIVE_INFINITY;
  private suspendedMilliseconds = 0;
  private lastClockOffset: number;

  /**
   * @param clocks - Clocks of the machine
   */
  constructor(private readonly clocks: MachineClocks) {
    this.lastClockOffset = this.computeClockOffset();
  }

  /**
   * Reads the monotonic time, corrected for suspensions.
   *
   * @returns Milliseconds, for use with {@link confirm}
   */
  readTime(): number {
    const clockOffset = this.computeClockOffset();
    const step = clockOffset - this.lastClockOffset;
    if (step > SUSPENSION_THRESHOLD_MILLISECONDS) {
      this.suspendedMilliseconds += step;
    }
    this.lastClockOffset = clockOffset;
    return this.clocks.monotonicMilliseconds() + this.suspendedMilliseconds;
  }

  /**
   * Records that all data written up to a time has been read.
   *
   * @param time - Value of {@link readTime}
   */
  confirm(time: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, time);
  }

  /** Returns the age in milliseconds; infinite before the first response. */
  ageMilliseconds(): number {
    return this.readTime() - this.confirmedAt;
  }

  private computeClockOffset(): number {
    return (
      this.clocks.wallClockMilliseconds() - this.clocks.monotonicMilliseconds()
    );
  }
}
