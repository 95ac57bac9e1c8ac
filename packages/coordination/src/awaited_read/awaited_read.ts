/**
 * Waiting until a topic that is read in the background is known as of now.
 */
import type {Clock} from '../clock/clock.js';
import type {StalenessTracker} from '../staleness_tracker/staleness_tracker.js';

/** Options of {@link AwaitedRead}. */
export interface AwaitedReadOptions {
  readonly clock: Clock;
  /** Time that includes suspensions of the machine. */
  readonly time: Pick<StalenessTracker, 'readTime'>;
}

interface Waiter {
  /** Time as of which the topic must be known. */
  readonly since: number;
  readonly settle: () => void;
}

/**
 * Lets callers wait until everything is known that was written before they asked.
 * A read that was sent before proves nothing, also if its response comes later: a
 * machine may have been suspended in between.
 *
 * @example
 * const confirm = awaitedRead.recordReadStart();
 * // The store responds, and the response is applied.
 * confirm(0);
 */
export class AwaitedRead {
  private readonly waiters = new Set<Waiter>();

  /**
   * @param options - Clock of the waits, and time of the reads
   */
  constructor(private readonly options: AwaitedReadOptions) {}

  /** True while a caller waits, so that a read should not be delayed. */
  get isAwaited(): boolean {
    return this.waiters.size > 0;
  }

  /**
   * Records that a read is sent.
   *
   * @returns To be called when all that was written before has been applied, with
   *   the time that the store waited without a new record, in milliseconds
   */
  recordReadStart(): (waitedMilliseconds: number) => void {
    const {time} = this.options;
    const sentAt = time.readTime();
    return waitedMilliseconds =>
      this.settleUntil(Math.min(time.readTime(), sentAt + waitedMilliseconds));
  }

  /**
   * Waits until everything that was written before this call is known.
   *
   * @param timeoutMilliseconds - Longest time to wait
   * @returns False if no read has proved it in time
   */
  async wait(timeoutMilliseconds: number): Promise<boolean> {
    const {clock, time} = this.options;
    const controller = new AbortController();
    const waiter = {
      since: time.readTime(),
      settle: () => controller.abort(),
    };
    this.waiters.add(waiter);
    await clock.sleep(timeoutMilliseconds, controller.signal);
    return !this.waiters.delete(waiter);
  }

  private settleUntil(time: number): void {
    for (const waiter of this.waiters) {
      if (waiter.since <= time) {
        this.waiters.delete(waiter);
        waiter.settle();
      }
    }
  }
}
