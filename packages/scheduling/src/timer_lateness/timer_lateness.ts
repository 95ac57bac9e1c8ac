/**
 * Estimate of how late the next timers of a process will be.
 */

/** Part of an observed lateness that still counts after the next timer. */
const LATENESS_DECAY = 0.95;

/**
 * Learns how late timers are from those that have ended. The second-largest
 * recent lateness counts: one long pause of the process is an event that is
 * over, while two within some dozen timers show that the process is slow.
 *
 * @example
 * const lateness = new TimerLateness();
 * lateness.record(1_900);
 * lateness.expectedMilliseconds; //=> 0
 * lateness.record(300);
 * lateness.expectedMilliseconds; //=> 300
 */
export class TimerLateness {
  private largest = 0;
  private secondLargest = 0;

  /**
   * Records a timer that has ended.
   *
   * @param milliseconds - Time by which it was late
   */
  record(milliseconds: number): void {
    this.largest *= LATENESS_DECAY;
    this.secondLargest *= LATENESS_DECAY;
    if (milliseconds > this.largest) {
      this.secondLargest = this.largest;
      this.largest = milliseconds;
    } else {
      this.secondLargest = Math.max(this.secondLargest, milliseconds);
    }
  }

  /** Lateness to expect of the next timers, in milliseconds. */
  get expectedMilliseconds(): number {
    return this.secondLargest;
  }
}
