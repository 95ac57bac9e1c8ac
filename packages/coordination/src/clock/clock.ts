/**
 * Time as an interface, so that tests and benchmarks supply their own.
 */

/** A source of time. */
export interface Clock {
  /** Milliseconds since the epoch. */
  now(): number;

  /**
   * Waits.
   *
   * @param milliseconds - How long
   * @param signal - Ends the wait early, without an error
   */
  sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
}

/** The clock of the machine. */
export const SYSTEM_CLOCK: Clock = {
  now: () => Date.now(),
  sleep: (milliseconds, signal) =>
    new Promise(resolve => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, milliseconds);
      signal?.addEventListener('abort', finish);
    }),
};

/** A clock that never jumps; its times are not those of the day. */
export const STEADY_CLOCK: Clock = {
  now: () => performance.now(),
  sleep: SYSTEM_CLOCK.sleep,
};
