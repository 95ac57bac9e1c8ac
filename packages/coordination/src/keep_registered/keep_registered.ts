/**
 * Telling the other processes where this one is.
 */
import {computeBackoff} from '../_lib/backoff.js';
import type {Clock} from '../clock/clock.js';
import {
  REGISTRATION_INTERVAL_MILLISECONDS,
  TOPIC_BACKOFF_MILLISECONDS,
} from '../constants.js';
import type {KeyedTopicStore} from '../follow_keyed_topic/follow_keyed_topic.js';

/** What {@link keepRegistered} needs. */
export interface KeepRegisteredOptions {
  readonly store: KeyedTopicStore;
  readonly clock: Clock;
  /** Source of numbers in [0, 1) for the pauses. */
  readonly random: () => number;
  readonly signal: AbortSignal;
  readonly onFailure: (message: string) => void;
}

/**
 * Writes a key now and again, until the signal ends it.
 *
 * @param topic - Topic of the registrations
 * @param key - Name of the process
 * @param value - Where it is
 * @param options - The store and the clock
 * @returns When the signal is aborted
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
  while (!signal.aborted) {
    const written = await store.write(topic, key, value, signal);
    if (written.isErr) {
      failures += 1;
      options.onFailure(written.error.message);
      await clock.sleep(
        computeBackoff(failures, random, TOPIC_BACKOFF_MILLISECONDS),
        signal,
      );
      continue;
    }
    failures = 0;
    await clock.sleep(
      REGISTRATION_INTERVAL_MILLISECONDS * (0.5 + random()),
      signal,
    );
  }
}
