/**
 * Selects the processes that keep a record on behalf of all.
 */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_FACTORS = [0x85ebca6b, 0xc2b2ae35] as const;

/** Names whose hashes are kept; past them, all are computed anew. */
const MAXIMUM_HASHES = 10_000;

/**
 * Selects the processes that keep the record of a key, by rendezvous hashing
 * with a hash that is cheap enough for each request. Processes that know of the
 * same others select the same ones; one more or less in their views changes at
 * most one of the selected.
 *
 * @example
 * const selector = new KeeperSelector();
 * selector.select(['front-1', 'front-2', 'front-3'], 'request-7', 2);
 */
export class KeeperSelector {
  private readonly hashesByName = new Map<string, number>();

  /**
   * Selects processes for a key.
   *
   * @param processes - Names of the processes
   * @param key - Key of the record
   * @param count - Processes to select
   * @returns Names of the selected processes, best first; all if there are fewer
   */
  select(
    processes: readonly string[],
    key: string,
    count: number,
  ): readonly string[] {
    if (processes.length <= count) {
      return processes;
    }
    const keyHash = hash(key);
    const selected: ScoredName[] = [];
    for (const name of processes) {
      const score = mix(keyHash ^ this.hashName(name));
      const lowest = selected[count - 1]?.score ?? Number.NEGATIVE_INFINITY;
      if (score > lowest) {
        insert(selected, {name, score});
        selected.length = Math.min(selected.length, count);
      }
    }
    return selected.map(({name}) => name);
  }

  private hashName(name: string): number {
    const known = this.hashesByName.get(name);
    if (known !== undefined) {
      return known;
    }
    if (this.hashesByName.size >= MAXIMUM_HASHES) {
      this.hashesByName.clear();
    }
    const value = hash(name);
    this.hashesByName.set(name, value);
    return value;
  }
}

interface ScoredName {
  readonly name: string;
  readonly score: number;
}

/** Inserts a name into a list that is sorted by score, best first. */
function insert(sorted: ScoredName[], added: ScoredName): void {
  let index = sorted.length;
  while (index > 0 && (sorted[index - 1]?.score ?? 0) < added.score) {
    index -= 1;
  }
  sorted.splice(index, 0, added);
}

function hash(text: string): number {
  let value = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME);
  }
  return value;
}

/** Spreads the bits of a hash over the whole number. */
function mix(value: number): number {
  let mixed = value ^ (value >>> 16);
  for (const factor of MIX_FACTORS) {
    mixed = Math.imul(mixed, factor);
    mixed ^= mixed >>> 13;
  }
  return mixed >>> 0;
}
