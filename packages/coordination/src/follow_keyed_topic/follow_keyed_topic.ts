/**
 * Keeping up with the newest record of each key of a topic.
 */
import type {Result} from 'true-myth';

import {computeBackoff} from '../_lib/backoff.js';
import type {LogError} from '../append_only_log/append_only_log.js';
import type {Clock} from '../clock/clock.js';
import {TOPIC_BACKOFF_MILLISECONDS} from '../constants.js';

/** The newest word on one key. */
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
}

/** Topics that keep the newest record of each key. */
export interface KeyedTopicStore {
  /**
   * Reads the newest record of each key.
   *
   * @returns The records, and an offset that lies behind none of them
   */
  readNewest(
    topic: string,
    signal?: AbortSignal,
  ): Promise<Result<KeyedPage, LogError>>;

  /**
   * Reads records from an offset on, waiting for one.
   *
   * @param waitMilliseconds - How long the store may wait for a record
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

/** What {@link followKeyedTopic} needs. */
export interface FollowKeyedTopicOptions {
  readonly store: KeyedTopicStore;
  readonly clock: Clock;
  /** Source of numbers in [0, 1) for the pauses. */
  readonly random: () => number;
  readonly signal: AbortSignal;
  /** How long the store may wait for a record, in milliseconds. */
  readonly longPollMilliseconds: number;
  /** Waits after records, so that the next read gathers several. */
  readonly gather: (signal: AbortSignal) => Promise<void>;
  /** Takes all keys; those that are not among them are gone. */
  readonly onSnapshot: (records: readonly KeyedRecord[]) => void;
  /** Takes records in order, later ones of a key replacing earlier ones. */
  readonly onRecords: (records: readonly KeyedRecord[]) => void;
  /**
   * Called before each read; what it returns is called when the read has been
   * answered and applied, with the time for which the store had nothing to
   * tell, in milliseconds.
   */
  readonly onRead: () => (waitedMilliseconds: number) => void;
  /** Told of each read that failed. */
  readonly onFailure: (error: LogError) => void;
}

/**
 * Follows a topic until the signal ends it.
 *
 * @param topic - Name of the topic
 * @param options - The store and what to do with records
 * @returns When the signal is aborted
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
  let failures = 0;
  while (!signal.aborted) {
    const confirm = options.onRead();
    const isSnapshot = position === undefined;
    // After a failure, what is known is confirmed without delay.
    const wait = failures === 0 ? options.longPollMilliseconds : 0;
    const answer: Result<KeyedPage, LogError> =
      position === undefined
        ? await store.readNewest(topic, signal)
        : await store.readFrom(topic, position, wait, signal);
    if (signal.aborted) {
      return;
    }
    if (answer.isErr) {
      if (answer.error.kind === 'trimmed') {
        position = undefined;
        continue;
      }
      failures += 1;
      options.onFailure(answer.error);
      await clock.sleep(
        computeBackoff(failures, options.random, TOPIC_BACKOFF_MILLISECONDS),
        signal,
      );
      continue;
    }
    failures = 0;
    position = answer.value.next;
    if (isSnapshot) {
      options.onSnapshot(answer.value.records);
    } else {
      options.onRecords(answer.value.records);
    }
    const isEmpty = answer.value.records.length === 0;
    confirm(isEmpty && !isSnapshot ? wait : 0);
    if (!isEmpty) {
      await options.gather(signal);
    }
  }
}
