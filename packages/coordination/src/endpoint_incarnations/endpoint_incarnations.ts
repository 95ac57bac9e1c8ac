/**
 * Incarnations of endpoints beside the current ones.
 */
import {REMOVED_ENTRY_RETENTION_MILLISECONDS} from '../constants.js';
import type {EndpointEntry} from '../endpoint_entry/endpoint_entry.js';
import {isOfSameIncarnation} from '../is_of_same_incarnation/is_of_same_incarnation.js';

/** Replaced incarnations that are remembered of one endpoint. */
const MAXIMUM_REPLACED_INCARNATIONS = 8;

interface RememberedEntry {
  readonly entry: EndpointEntry;
  /** Monotonic time, in milliseconds. */
  readonly rememberedAt: number;
}

/**
 * Remembers which incarnations of an endpoint others have replaced, and which one
 * may have replaced the current one: their entries may come late.
 */
export class EndpointIncarnations {
  private readonly replaced = new Map<string, RememberedEntry[]>();
  private readonly competing = new Map<string, RememberedEntry>();

  /**
   * @param now - Returns the monotonic time, in milliseconds
   */
  constructor(private readonly now: () => number) {}

  /**
   * Records that another incarnation has replaced one.
   *
   * @param lastEntry - Newest entry of the replaced incarnation
   * @param successor - Entry of the one that replaced it
   */
  recordReplacement(lastEntry: EndpointEntry, successor: EndpointEntry): void {
    const {id} = lastEntry;
    const others = (this.replaced.get(id) ?? []).filter(
      ({entry}) =>
        !isOfSameIncarnation(entry, lastEntry) &&
        !isOfSameIncarnation(entry, successor),
    );
    const replaced = [...others, this.remember(lastEntry)];
    this.replaced.set(id, replaced.slice(-MAXIMUM_REPLACED_INCARNATIONS));
    this.competing.delete(id);
  }

  /** Records an entry of an incarnation that may have replaced the current one. */
  recordCompeting(entry: EndpointEntry): void {
    const before = this.competing.get(entry.id)?.entry;
    const isOlder =
      before !== undefined &&
      isOfSameIncarnation(before, entry) &&
      (entry.sequence ?? 0) < (before.sequence ?? 0);
    if (!isOlder) {
      this.competing.set(entry.id, this.remember(entry));
    }
  }

  /** Finds the newest entry of an incarnation that another one has replaced. */
  findReplaced(entry: EndpointEntry): EndpointEntry | undefined {
    return this.replaced
      .get(entry.id)
      ?.find(replaced => isOfSameIncarnation(replaced.entry, entry))?.entry;
  }

  /** Finds the entry that competes with the current incarnation of an endpoint. */
  findCompeting(id: string): EndpointEntry | undefined {
    return this.competing.get(id)?.entry;
  }

  /** Records that the current incarnation of an endpoint goes on to write. */
  recordConfirmation(id: string): void {
    this.competing.delete(id);
  }

  /** Forgets entries that came so long ago that no late one is expected. */
  forgetOld(): void {
    const oldest = this.now() - REMOVED_ENTRY_RETENTION_MILLISECONDS;
    for (const [id, replaced] of this.replaced) {
      const recent = replaced.filter(
        ({rememberedAt}) => rememberedAt >= oldest,
      );
      if (recent.length > 0) {
        this.replaced.set(id, recent);
      } else {
        this.replaced.delete(id);
      }
    }
    for (const [id, {rememberedAt}] of this.competing) {
      if (rememberedAt < oldest) {
        this.competing.delete(id);
      }
    }
  }

  private remember(entry: EndpointEntry): RememberedEntry {
    return {entry, rememberedAt: this.now()};
  }
}
