/**
 * Simulated clock that advances only on request.
 */
import type {Clock} from '../clock/clock.js';

interface PendingSleep {
  readonly wakeAt: number;
  readonly order: number;
  readonly wake: () => void;
}

/**
 * Simulated clock for tests and benchmarks, starting at 0.
 *
 * Sleeps end in order of their wake-up time and then of their start, so that
 * runs are deterministic.
 *
 * @example
 * const clock = new VirtualClock();
 * const done = clock.sleep(1_000);
 * await clock.advance(1_000);
 * await done;
 */
export class VirtualClock implements Clock {
  private time = 0;
  private order = 0;
  private pendingSleeps: PendingSleep[] = [];

  now(): number {
    return this.time;
  }

  sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) {
      return Promise.resolve();
    }
    return new Promise(resolve => {
      this.order += 1;
      const pendingSleep: PendingSleep = {
        wakeAt: this.time + Math.max(0, milliseconds),
        order: this.order,
        wake: () => {
          signal?.removeEventListener('abort', pendingSleep.wake);
          this.pendingSleeps = this.pendingSleeps.filter(
            other => other !== pendingSleep,
          );
          resolve();
        },
      };
      signal?.addEventListener('abort', pendingSleep.wake);
      this.pendingSleeps.push(pendingSleep);
    });
  }

  /**
   * Advances the time and ends the sleeps that are due.
   *
   * @param milliseconds - Duration
   */
  async advance(milliseconds: number): Promise<void> {
    const end = this.time + milliseconds;
    await runPendingCallbacks();
    for (;;) {
      const next = this.findNextSleep(end);
      if (next === undefined) {
        break;
      }
      this.time = next.wakeAt;
      next.wake();
      await runPendingCallbacks();
    }
    this.time = end;
  }

  private findNextSleep(end: number): PendingSleep | undefined {
    let next: PendingSleep | undefined;
    for (const pendingSleep of this.pendingSleeps) {
      const isEarlier =
        next === undefined ||
        pendingSleep.wakeAt < next.wakeAt ||
        (pendingSleep.wakeAt === next.wakeAt &&
          pendingSleep.order < next.order);
      if (pendingSleep.wakeAt <= end && isEarlier) {
        next = pendingSleep;
      }
    }
    return next;
  }
}

/** Waits until all callbacks that are ready have run. */
function runPendingCallbacks(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
