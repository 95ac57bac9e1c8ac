/**
 * Local replica of the configuration, updated from the log and from peers.
 */
import {
  validateConfigurationChange,
  validateConfigurationRestatement,
  type ConfigurationRestatement,
  type ConfigurationUpdate,
  type LogPage,
} from '@briarpin/messages';

import type {AppendOnlyLog} from '../append_only_log/append_only_log.js';
import type {Clock} from '../clock/clock.js';
import {
  ConfigurationTable,
  type ChangeResult,
} from '../configuration_table/configuration_table.js';
import {
  CONFIGURATION_STREAM,
  STALENESS_TIMEOUT_MILLISECONDS,
  RESTATE_AFTER_MILLISECONDS,
  RESTATE_AFTER_RECORDS,
  RESTATE_STAGGER_MILLISECONDS,
} from '../constants.js';
import {followLog} from '../follow_log/follow_log.js';

/** Options of {@link ConfigurationReplica}. */
export interface ConfigurationReplicaOptions {
  readonly log: AppendOnlyLog;
  readonly clock: Clock;
  /** Random number generator for backoff jitter, returns values in [0, 1). */
  readonly random: () => number;
  /** Maximum duration of one long poll, in milliseconds. */
  readonly longPollMilliseconds: number;
  /** Rank among the pollers of the log, from 0; undefined for non-pollers. */
  readonly pollerRank: () => number | undefined;
  /** Called after the version of the table has changed. */
  readonly onChange?: (table: ConfigurationTable) => void;
}

/** Result of evaluating a change, and the offset of its record. */
export interface EvaluatedChange {
  readonly result: ChangeResult;
  readonly offset: number;
}

/**
 * Follows the configuration stream.
 *
 * A replica is ready once its table is complete: it has read the stream from
 * its first record, or a restatement (a snapshot of every key) that covers all
 * records before the earliest kept one, or the table of a ready peer. Records
 * read before that are deferred and applied afterwards, so that each change is
 * evaluated against the value that was in force at its offset.
 */
export class ConfigurationReplica {
  readonly table = new ConfigurationTable();
  private isComplete = false;
  private nextOffset = 1;
  private deferredRecords: LogPage['records'] = [];
  private earliest = 1;
  private lastRestatementOffset = 0;
  private lastRestatementTime: number;
  private lastConfirmedTime = Number.NEGATIVE_INFINITY;
  private isRestating = false;
  private hasReachedEnd = false;
  private readonly watchedChanges = new Map<
    string,
    EvaluatedChange | undefined
  >();

  constructor(private readonly options: ConfigurationReplicaOptions) {
    this.lastRestatementTime = options.clock.now();
  }

  /** True once the table contains every key in force. */
  get isReady(): boolean {
    return this.isComplete;
  }

  /** True once a read of the log has returned no record. */
  get hasReadToEnd(): boolean {
    return this.hasReachedEnd;
  }

  /**
   * Follows the log until the signal is aborted.
   *
   * @param signal - Stops the replica
   */
  async run(signal: AbortSignal): Promise<void> {
    const {log, clock, random, longPollMilliseconds} = this.options;
    await followLog(CONFIGURATION_STREAM, {
      log,
      clock,
      random,
      longPollMilliseconds,
      signal,
      position: () => this.nextOffset,
      onPage: (page, currentAt) => this.applyPage(page, currentAt),
      onTrimmed: earliest => this.handleTrim(earliest),
      waitBeforeRead: () => this.waitUntilReadNeeded(signal),
    });
  }

  /**
   * Applies an update from a peer.
   *
   * @param update - The peer's changes since its base version
   * @returns False when this replica lacks changes before the update's base
   *     version
   */
  applyUpdate(update: ConfigurationUpdate): boolean {
    if (!this.isComplete && update.baseVersion > 0) {
      return false;
    }
    const before = this.table.version;
    if (!this.table.merge(update)) {
      return false;
    }
    this.isComplete ||= update.version > 0;
    this.nextOffset = Math.max(this.nextOffset, this.table.version + 1);
    if (this.table.version !== before) {
      this.options.onChange?.(this.table);
    }
    return true;
  }

  /**
   * Starts to record the result of a change, for {@link findEvaluatedChange}.
   *
   * @param changeId - Identifier of a change that has not been appended yet
   */
  watchChange(changeId: string): void {
    this.watchedChanges.set(changeId, undefined);
  }

  /** Finds the first evaluation of a watched change; undefined until then. */
  findEvaluatedChange(changeId: string): EvaluatedChange | undefined {
    return this.watchedChanges.get(changeId);
  }

  /**
   * Upper bound on the time since this table was the latest, in milliseconds;
   * infinite before the first read.
   *
   * The staleness is measured from a read of the log and sent along with the
   * configuration, so that peers that all cannot reach the log do not treat
   * each other as fresh.
   */
  get stalenessMilliseconds(): number {
    return this.options.clock.now() - this.lastConfirmedTime;
  }

  /**
   * Records how recently the log was read by a peer whose version is not
   * behind, or by this replica.
   *
   * @param ageMilliseconds - Time since that read, in milliseconds
   */
  recordStaleness(ageMilliseconds: number): void {
    const time = this.options.clock.now() - ageMilliseconds;
    this.lastConfirmedTime = Math.max(this.lastConfirmedTime, time);
  }

  /**
   * Finds the changes that a peer at a version lacks.
   *
   * @returns The update; undefined when the peer lacks none or this replica is
   *     not ready
   */
  findUpdateSince(version: number): ConfigurationUpdate | undefined {
    return this.isComplete && version < this.table.version
      ? this.table.changesSince(version)
      : undefined;
  }

  private async waitUntilReadNeeded(signal: AbortSignal): Promise<void> {
    const {clock, pollerRank} = this.options;
    while (!signal.aborted) {
      const staleness = this.stalenessMilliseconds;
      const isPoller = pollerRank() !== undefined;
      if (
        !this.isComplete ||
        isPoller ||
        staleness >= STALENESS_TIMEOUT_MILLISECONDS
      ) {
        return;
      }
      await clock.sleep(STALENESS_TIMEOUT_MILLISECONDS - staleness, signal);
    }
  }

  private applyPage(page: LogPage, currentAt: number | undefined): void {
    const before = this.table.version;
    if (currentAt !== undefined) {
      this.recordStaleness(this.options.clock.now() - currentAt);
    }
    this.hasReachedEnd ||= page.records.length === 0;
    for (const record of page.records) {
      this.processRecord(record);
    }
    this.nextOffset = Math.max(this.nextOffset, page.next);
    // A stream read from its start is complete, but an empty configuration is
    // not served, because no operator has set it.
    if (this.earliest === 1 && this.table.version > 0) {
      this.isComplete = true;
    }
    if (this.table.version !== before) {
      this.options.onChange?.(this.table);
    }
    this.appendRestatementWhenDue();
  }

  private processRecord(record: LogPage['records'][number]): void {
    if (validateConfigurationRestatement(record.value)) {
      this.lastRestatementOffset = record.offset;
      this.lastRestatementTime = this.options.clock.now();
      this.completeFromRestatement(record.value);
    }
    if (this.isComplete || this.earliest === 1) {
      this.applyRecord(record);
    } else {
      this.deferredRecords.push(record);
    }
  }

  private completeFromRestatement(restatement: ConfigurationRestatement): void {
    if (this.isComplete || restatement.through < this.earliest - 1) {
      return;
    }
    this.table.applyRestatement(restatement);
    this.isComplete = true;
    const deferred = this.deferredRecords;
    this.deferredRecords = [];
    for (const record of deferred) {
      this.applyRecord(record);
    }
  }

  private applyRecord(record: LogPage['records'][number]): void {
    if (record.offset <= this.table.version) {
      return;
    }
    if (validateConfigurationChange(record.value)) {
      const result = this.table.applyChange(record.value, record.offset);
      this.recordResult(record.value.changeId, result, record.offset);
    } else if (validateConfigurationRestatement(record.value)) {
      this.table.applyRestatement(record.value);
    }
    this.table.advanceVersion(record.offset);
  }

  private recordResult(
    changeId: string,
    result: ChangeResult,
    offset: number,
  ): void {
    if (
      this.watchedChanges.has(changeId) &&
      !this.watchedChanges.get(changeId)
    ) {
      this.watchedChanges.set(changeId, {result, offset});
    }
  }

  private handleTrim(earliest: number): void {
    this.earliest = earliest;
    this.nextOffset = earliest;
    this.deferredRecords = [];
    if (this.table.version < earliest - 1) {
      this.isComplete = false;
    }
  }

  private appendRestatementWhenDue(): void {
    const rank = this.options.pollerRank();
    if (rank === undefined || !this.isComplete || this.isRestating) {
      return;
    }
    const stagger = rank * RESTATE_STAGGER_MILLISECONDS;
    const age = this.options.clock.now() - this.lastRestatementTime - stagger;
    const records = this.table.version - this.lastRestatementOffset;
    const dueByAge = age >= RESTATE_AFTER_MILLISECONDS;
    const dueByRecords = rank === 0 && records >= RESTATE_AFTER_RECORDS;
    // Due without changes as well, because retention also deletes the last
    // restatement.
    if (this.table.size > 0 && (dueByAge || dueByRecords)) {
      void this.appendRestatement();
    }
  }

  private async appendRestatement(): Promise<void> {
    this.isRestating = true;
    await this.options.log.append(
      CONFIGURATION_STREAM,
      this.table.createRestatement(),
    );
    this.lastRestatementTime = this.options.clock.now();
    this.isRestating = false;
  }
}
