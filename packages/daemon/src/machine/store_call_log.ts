/**
 * Counts calls to the store and logs the counts.
 */
import type {Clock} from '@briarpin/coordination';
import type {EventLogger} from '@briarpin/telemetry';

import type {StoreCall} from './observed_store.js';

const LOG_INTERVAL_MILLISECONDS = 30_000;

/** Options of {@link StoreCallLog}. */
export interface StoreCallLogOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
}

/** Counts the calls of a process by topic and kind, since its start. */
export class StoreCallLog {
  private readonly counts = new Map<string, number>();

  /** Counts a call. */
  record(topic: string, call: StoreCall): void {
    const key = `${topic}_${call}`;
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
  }

  /**
   * Logs the counts periodically, and once more when the signal is aborted.
   *
   * @param options - Clock and log
   * @param signal - Ends the process
   */
  async run(
    {clock, logger}: StoreCallLogOptions,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(LOG_INTERVAL_MILLISECONDS, signal);
      logger.info('store_calls', Object.fromEntries(this.counts));
    }
  }
}
