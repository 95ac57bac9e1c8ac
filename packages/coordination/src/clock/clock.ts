/**
 * Clock interface, so that tests and benchmarks can supply their own time.
 */

/** A source of time. */
export interface Clock {
  /** Returns the current time, in milliseconds since the epoch. */
  now(): number;

  /**
   * Waits for a duration.
   *
   * @param milliseconds - Duration
   * @param signal - Resolves the promise early when aborted, without an error
   */
  sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
}

/** System clock; its time may jump when the clock is adjusted. */
export const SYSTEM_CLOCK: Clock = {
  now: () => Date.now(),
  sleep: (milliseconds, signal) =>
    new Promise(resolve => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const complete = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', complete);
        resolve();
      };
      const timer = setTimeout(complete, milliseconds);
      signal?.addEventListener('abort', complete);
    }),
};

/** Monotonic clock; its times are not relative to the epoch. */
export const MONOTONIC_CLOCK: Clock = {
  now: () => performance.now(),
  sleep: SYSTEM_CLOCK.sleep,
};
