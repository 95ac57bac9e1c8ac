/**
 * Registers a process in a keyed topic, where other processes discover it.
 */
import {computeRetryDelay} from '../_lib/retry_delay.js';
import type {Clock} from '../clock/clock.js';
import {REGISTRATION_INTERVAL_MILLISECONDS} from '../constants.js';
import type {KeyedTopicStore} from '../follow_keyed_topic/follow_keyed_topic.js';

/** Options of {@link keepRegistered}. */
export interface KeepRegisteredOptions {
  readonly store: KeyedTopicStore;
  readonly clock: Clock;
  /** Random number generator for jitter, returns values in [0, 1). */
  readonly random: () => number;
  readonly signal: AbortSignal;
  /** Called with the error message of each failed write. */
  readonly onFailure: (message: string) => void;
}

/**
 * Writes a key periodically until the signal is aborted. Failed writes are
 * retried with exponential backoff.
 *
 * @param topic - Topic of the registrations
 * @param key - Name of this process
 * @param value - Encoded address of this process
 * @param options - Store, clock and failure callback
 * @returns Resolves when the signal is aborted
 *
 * @example
 * await keepRegistered('keyed.gateways', 'front-1', value, {store, ...});
 */
export async function keepRegistered(
  topic: string,
  key: string,
  value: Buffer,
  options: KeepRegisteredOptions,
): Promise<void> {
  const {store, clock, random, signal} = options;
  let failures = 0;
  let isFirst = true;
  while (!signal.aborted) {
    const result = await store.write(topic, key, value, signal);
    if (result.isErr) {
      failures += 1;
      options.onFailure(result.error.message);
      await clock.sleep(computeRetryDelay(failures, random, isFirst), signal);
      continue;
    }
    failures = 0;
    isFirst = false;
    await clock.sleep(
      REGISTRATION_INTERVAL_MILLISECONDS * (0.5 + random()),
      signal,
    );
  }
}
