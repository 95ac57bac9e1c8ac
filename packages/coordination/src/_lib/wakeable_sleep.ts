/**
 * A sleep that an event may end early.
 */
import type {Clock} from '../clock/clock.js';

/** Sleeps on a clock until the time is over, or until it is woken. */
export class WakeableSleep {
  private controller = new AbortController();

  /**
   * @param clock - Clock to sleep on
   */
  constructor(private readonly clock: Clock) {}

  /** Ends the current sleep, if there is one. */
  wake(): void {
    this.controller.abort();
  }

  /**
   * Sleeps.
   *
   * @param milliseconds - Longest duration
   * @param signal - Ends the sleep early
   */
  async sleep(milliseconds: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) {
      return;
    }
    const controller = new AbortController();
    const abort = () => controller.abort();
    this.controller = controller;
    signal.addEventListener('abort', abort);
    await this.clock.sleep(milliseconds, controller.signal);
    signal.removeEventListener('abort', abort);
  }
}
