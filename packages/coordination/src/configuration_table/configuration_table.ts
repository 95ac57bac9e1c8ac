/**
 * Configuration in force, built from the log or merged from peers.
 */
import type {
  ConfigurationChange,
  ConfigurationEntry,
  ConfigurationRestatement,
  ConfigurationUpdate,
} from '@briarpin/messages';

/** Result of applying a change. */
export type ChangeResult =
  /** The change is in force. */
  | 'accepted'
  /** The change was based on an outdated value of its key. */
  | 'conflict'
  /** The change had already been applied. */
  | 'duplicate';

/**
 * Table of every key with its value and the log offset that set it.
 *
 * Applying records is deterministic: every reader of the same records has the
 * same entries. Merging keeps the larger offset of each key, so it is
 * commutative and idempotent and never reverts a key, whichever peer sends the
 * update.
 */
export class ConfigurationTable {
  private readonly entries = new Map<string, ConfigurationEntry>();
  private foldedOffset = 0;

  /** Offset up to which, inclusive, every record has been applied. */
  get version(): number {
    return this.foldedOffset;
  }

  /** Number of keys, including removed ones. */
  get size(): number {
    return this.entries.size;
  }

  /**
   * Applies a change, which is the next record of the stream.
   *
   * @param change - The change
   * @param offset - Its offset in the stream
   * @returns Whether the change was accepted
   */
  applyChange(change: ConfigurationChange, offset: number): ChangeResult {
    const current = this.entries.get(change.key);
    const result = evaluateChange(change, offset, current);
    if (result === 'accepted') {
      this.entries.set(change.key, {
        key: change.key,
        valueJson: toValueJson(change.value),
        offset,
        changeId: change.changeId,
      });
    }
    this.advanceVersion(offset);
    return result;
  }

  /**
   * Applies a restatement, which is the next record of the stream or the first
   * one read.
   *
   * @param restatement - Snapshot of every key at offset `restatement.through`
   */
  applyRestatement(restatement: ConfigurationRestatement): void {
    for (const entry of restatement.entries) {
      this.setIfNewer({
        key: entry.key,
        valueJson: toValueJson(entry.value),
        offset: entry.offset,
        changeId: entry.changeId,
      });
    }
    this.advanceVersion(restatement.through);
  }

  /** Advances the version, also past records that change no key. */
  advanceVersion(offset: number): void {
    this.foldedOffset = Math.max(this.foldedOffset, offset);
  }

  /**
   * Merges an update from a peer.
   *
   * @param update - Entries sent by the peer
   * @returns False when the update starts after this table's version, so that
   *     changes in between would be missed
   */
  merge(update: ConfigurationUpdate): boolean {
    if (update.baseVersion > this.foldedOffset) {
      return false;
    }
    for (const entry of update.entries) {
      this.setIfNewer(entry);
    }
    this.advanceVersion(update.version);
    return true;
  }

  /**
   * Lists the entries that changed after a version.
   *
   * @param version - Version of the requester; 0 for all entries
   * @returns An update for {@link merge}
   */
  changesSince(version: number): ConfigurationUpdate {
    const entries = [...this.entries.values()].filter(
      entry => entry.offset > version,
    );
    return {version: this.foldedOffset, baseVersion: version, entries};
  }

  /** Creates a snapshot of every key with its original offset. */
  createRestatement(): ConfigurationRestatement {
    const entries = [...this.entries.values()].map(entry => ({
      key: entry.key,
      value: fromValueJson(entry.valueJson),
      offset: entry.offset,
      changeId: entry.changeId,
    }));
    return {kind: 'restatement', through: this.foldedOffset, entries};
  }

  /** Finds the entry of a key, including a removed one. */
  find(key: string): ConfigurationEntry | undefined {
    return this.entries.get(key);
  }

  /**
   * Reads the value of a key.
   *
   * @param key - The key
   * @returns The parsed value; undefined when the key is absent or removed
   */
  get(key: string): unknown {
    const entry = this.entries.get(key);
    return entry === undefined || entry.valueJson === ''
      ? undefined
      : fromValueJson(entry.valueJson);
  }

  /**
   * Lists the entries of all keys that start with a prefix and have a value.
   *
   * @param prefix - Prefix of the keys
   * @returns The entries, sorted by key
   */
  list(prefix: string): readonly ConfigurationEntry[] {
    return [...this.entries.values()]
      .filter(entry => entry.key.startsWith(prefix) && entry.valueJson !== '')
      .sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  private setIfNewer(entry: ConfigurationEntry): void {
    const current = this.entries.get(entry.key);
    if (current === undefined || current.offset < entry.offset) {
      this.entries.set(entry.key, {...entry});
    }
  }
}

function evaluateChange(
  change: ConfigurationChange,
  offset: number,
  current: ConfigurationEntry | undefined,
): ChangeResult {
  if (current === undefined) {
    return change.baseOffset === 0 ? 'accepted' : 'conflict';
  }
  if (current.offset >= offset || current.changeId === change.changeId) {
    return 'duplicate';
  }
  return change.baseOffset === current.offset ? 'accepted' : 'conflict';
}

function toValueJson(value: unknown): string {
  return value === null || value === undefined ? '' : JSON.stringify(value);
}

function fromValueJson(valueJson: string): unknown {
  return valueJson === '' ? null : JSON.parse(valueJson);
}
