/**
 * Copy of the suspicions in a keyed topic, where each process writes one key.
 */
import type {SuspicionRecord} from '@briarpin/messages';

import {
  MAXIMUM_STORED_SUSPECTS,
  MAXIMUM_STORED_SUSPICION_RECORDS,
} from '../constants.js';
import {SuspicionTable} from '../suspicion_table/suspicion_table.js';

/** Suspicions that a process has written under its key. */
export interface StoredSuspicions {
  readonly key: string;
  readonly records: readonly SuspicionRecord[];
}

/**
 * Keeps a table and a keyed topic equal: everything in the topic is applied to
 * the table, and what no process has stored yet is written under this process's
 * key. Any process may therefore store what another one observed, and a store
 * that lost records gets them again.
 */
export class SuspicionReplica {
  private stored = new SuspicionTable();
  private storedUnderOwnKey = new SuspicionTable();
  private hasSnapshot = false;

  /**
   * @param table - Suspicions known to this process
   * @param key - Key under which this process writes
   */
  constructor(
    private readonly table: SuspicionTable,
    private readonly key: string,
  ) {}

  /** Applies the newest values of all keys. */
  applySnapshot(values: readonly StoredSuspicions[]): void {
    this.stored = new SuspicionTable();
    this.storedUnderOwnKey = new SuspicionTable();
    this.hasSnapshot = true;
    values.forEach(value => this.applyValue(value));
  }

  /** Applies a value that a process has written. */
  applyValue({key, records}: StoredSuspicions): void {
    for (const record of records) {
      this.table.apply(record);
      this.stored.apply(record);
      if (key === this.key) {
        this.storedUnderOwnKey.apply(record);
      }
    }
  }

  /**
   * Creates the value to write under this process's key.
   *
   * @returns The newest records; undefined when the topic lacks nothing, or
   *     before it has been read, as the value would replace an unread one
   */
  createMissingValue(): readonly SuspicionRecord[] | undefined {
    if (!this.hasSnapshot) {
      return undefined;
    }
    const missing = this.table.findMissing(this.stored);
    if (missing.length === 0) {
      return undefined;
    }
    const value = new SuspicionTable();
    [...this.storedUnderOwnKey.list(), ...missing].forEach(record =>
      value.apply(record),
    );
    const newestFirst = value.list().sort((left, right) => right.at - left.at);
    return selectStorable(newestFirst);
  }
}

/** Selects as many of the first records as one record of the store can hold. */
function selectStorable(
  newestFirst: readonly SuspicionRecord[],
): readonly SuspicionRecord[] {
  let room = MAXIMUM_STORED_SUSPECTS;
  const fitting = newestFirst.filter(({fingerprints, cleared = []}) => {
    room -= fingerprints.length + cleared.length;
    return room >= 0;
  });
  return fitting.slice(0, MAXIMUM_STORED_SUSPICION_RECORDS);
}
