/**
 * Follows the newest record of each key of a topic.
 */
import type {Result} from 'true-myth';

import {computeRetryDelay} from '../_lib/retry_delay.js';
import type {LogError} from '../append_only_log/append_only_log.js';
import type {Clock} from '../clock/clock.js';

/** Newest record of a key. */
export interface KeyedRecord {
  readonly key: string;
  /** Absent when the key was removed. */
  readonly value?: Buffer;
}

/** Records that follow an offset. */
export interface KeyedPage {
  readonly records: readonly KeyedRecord[];
  /** Offset to read next. */
  readonly next: number;
  /**
   * True when the store held more records that follow these, so that the page
   * does not contain everything that was written before the read.
   */
  readonly hasMore: boolean;
  /**
   * Rises each time the store has returned from an older copy of its contents.
   * Offsets of different eras cannot be compared. Absent if the store states
   * none.
   */
  readonly era?: number;
}

/** Store of compacted topics, which keep the newest record of each key. */
export interface KeyedTopicStore {
  /**
   * Reads the newest record of each key.
   *
   * @returns The records, and an offset to continue from that skips no record
   */
  readNewest(
    topic: string,
    signal?: AbortSignal,
  ): Promise<Result<KeyedPage, LogError>>;

  /**
   * Reads records starting at an offset, waiting for at least one.
   *
   * @param waitMilliseconds - Maximum time that the store waits for a record
   */
  readFrom(
    topic: string,
    offset: number,
    waitMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<Result<KeyedPage, LogError>>;

  /** Writes the value of a key, or removes the key. */
  write(
    topic: string,
    key: string,
    value: Buffer | undefined,
    signal?: AbortSignal,
  ): Promise<Result<void, LogError>>;
}

/** Options of {@link followKeyedTopic}. */
export interface FollowKeyedTopicOptions {
  readonly store: KeyedTopicStore;
  readonly clock: Clock;
  /** Random number generator for backoff jitter, returns values in [0, 1). */
  readonly random: () => number;
  readonly signal: AbortSignal;
  /**
   * Returns the maximum time that the store waits for a record in the next read,
   * in milliseconds.
   */
  readonly longPollMilliseconds: () => number;
  /**
   * Delays the next read after a successful one.
   *
   * @param signal - Ends the delay early
   * @param hasRecords - Whether the last read returned records; a delay then
   *   makes the next one return a batch of them
   */
  readonly waitForNextRead: (
    signal: AbortSignal,
    hasRecords: boolean,
  ) => Promise<void>;
  /** Receives the records of all keys; keys without a record were removed. */
  readonly onSnapshot: (records: readonly KeyedRecord[]) => void;
  /**
   * Receives records in order; later records of a key replace earlier ones. More
   * may follow that were written before the read.
   */
  readonly onRecords: (records: readonly KeyedRecord[]) => void;
  /**
   * Called before each read. The returned function is called when everything that
   * was written before the read has been applied, with the time that the store
   * waited without a new record, in milliseconds, and the era of the store; not
   * after a page that more records follow.
   */
  readonly onReadStart: () => (
    waitedMilliseconds: number,
    era: number | undefined,
  ) => void;
  /**
   * Called before the first snapshot after the store has returned from an older
   * copy, which may lack records that were already read.
   */
  readonly onStoreRestored?: () => void;
  /**
   * Returns true while a failed read is repeated soon and often, as by default;
   * otherwise rarely, once a snapshot has been read.
   */
  readonly isUrgent?: () => boolean;
  /** Called for each failed read, except when records have been trimmed. */
  readonly onFailure: (error: LogError) => void;
}

/**
 * Follows a topic until the signal is aborted.
 *
 * @param topic - Name of the topic
 * @param options - Store, clock and callbacks
 * @returns Resolves when the signal is aborted
 *
 * @example
 * await followKeyedTopic('keyed.servers', {store, clock, onSnapshot, ...});
 */
export async function followKeyedTopic(
  topic: string,
  options: FollowKeyedTopicOptions,
): Promise<void> {
  const {store, clock, signal} = options;
  let position: number | undefined;
  let era: number | undefined;
  let failures = 0;
  let hasMore = false;
  while (!signal.aborted) {
    const confirm = options.onReadStart();
    const isSnapshot = position === undefined;
    // After a failure, and in the middle of a topic, the next read does not wait
    // for records, so that the current state is confirmed without delay.
    const waitMilliseconds: number =
      failures === 0 && !hasMore ? options.longPollMilliseconds() : 0;
    const response: Result<KeyedPage, LogError> =
      position === undefined
        ? await store.readNewest(topic, signal)
        : await store.readFrom(topic, position, waitMilliseconds, signal);
    if (signal.aborted) {
      return;
    }
    if (response.isErr) {
      if (response.error.kind === 'trimmed') {
        position = undefined;
        continue;
      }
      failures += 1;
      options.onFailure(response.error);
      await clock.sleep(
        computeRetryDelay(
          failures,
          options.random,
          isSnapshot || (options.isUrgent?.() ?? true),
        ),
        signal,
      );
      continue;
    }
    failures = 0;
    const hasNewEra = response.value.era !== era;
    if (hasNewEra && !isSnapshot) {
      position = undefined;
      continue;
    }
    if (hasNewEra && era !== undefined) {
      options.onStoreRestored?.();
    }
    const page: KeyedPage = response.value;
    ({era, next: position, hasMore} = page);
    if (isSnapshot) {
      options.onSnapshot(page.records);
    } else {
      options.onRecords(page.records);
    }
    if (hasMore) {
      continue;
    }
    const isEmpty = page.records.length === 0;
    confirm(isEmpty && !isSnapshot ? waitMilliseconds : 0, era);
    await options.waitForNextRead(signal, !isEmpty);
  }
}
