/**
 * How old a process's knowledge of the store is at most.
 */

/** Times of a machine: one that never jumps, and the time of day. */
export interface GuardClocks {
  /** Milliseconds of a clock that never jumps but may miss a suspension. */
  readonly steadyMilliseconds: () => number;
  /** Milliseconds since the epoch; may jump. */
  readonly wallMilliseconds: () => number;
}

/**
 * Forward steps of the time of day from which a suspension is assumed; above
 * the slewing of a disciplined clock.
 */
const SUSPENSION_MILLISECONDS = 250;

/**
 * Bounds the age of what was last read from the store.
 *
 * A steady clock does not count the time for which a machine is suspended. A
 * step of the time of day against the steady clock is therefore added to the
 * age: at worst it was only a correction of the time, and the age is
 * overestimated until the next answer.
 *
 * @example
 * const guard = new ContactGuard(clocks);
 * const sentAt = guard.mark();
 * // The store answers a read that was sent at that moment.
 * guard.confirm(sentAt);
 * guard.ageMilliseconds(); //=> 12
 */
export class ContactGuard {
  private confirmedAt = Number.NEGATIVE_INFINITY;
  private lostMilliseconds = 0;
  private lastDifference: number;

  /**
   * @param clocks - Times of the machine
   */
  constructor(private readonly clocks: GuardClocks) {
    this.lastDifference = this.difference();
  }

  /** Reads the guarded time; to be handed to {@link confirm}. */
  mark(): number {
    const difference = this.difference();
    const step = difference - this.lastDifference;
    if (step > SUSPENSION_MILLISECONDS) {
      this.lostMilliseconds += step;
    }
    this.lastDifference = difference;
    return this.clocks.steadyMilliseconds() + this.lostMilliseconds;
  }

  /**
   * Notes that everything up to a moment is known.
   *
   * @param moment - A value of {@link mark}
   */
  confirm(moment: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, moment);
  }

  /** Age of what is known, in milliseconds; infinite before the first read. */
  ageMilliseconds(): number {
    return this.mark() - this.confirmedAt;
  }

  private difference(): number {
    return this.clocks.wallMilliseconds() - this.clocks.steadyMilliseconds();
  }
}
