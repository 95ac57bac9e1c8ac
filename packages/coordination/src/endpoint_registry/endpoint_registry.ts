/**
 * Registry of the endpoints that accept work, built from their store entries.
 */
import {
  REMOVED_ENTRY_RETENTION_MILLISECONDS,
  HEARTBEATS_UNTIL_EXPIRY,
  EXPIRED_ENTRY_GRACE_MILLISECONDS,
  UNCONFIRMED_ENTRY_LIFETIME_MILLISECONDS,
} from '../constants.js';
import type {
  EndpointDeparture,
  EndpointEntry,
  EndpointIncarnation,
  LeavingReason,
} from '../endpoint_entry/endpoint_entry.js';
import {EndpointIncarnations} from '../endpoint_incarnations/endpoint_incarnations.js';
import {isOfSameIncarnation} from '../is_of_same_incarnation/is_of_same_incarnation.js';
import {
  judgeEntry,
  type CurrentIncarnation,
  type EntryVerdict,
} from '../judge_entry/judge_entry.js';
import {SoftwareVersionHistory} from '../software_version_history/software_version_history.js';

/** Where an endpoint was first reported. */
export type EntrySource = 'store' | 'peer';

/** Options of {@link EndpointRegistry}. */
export interface EndpointRegistryOptions {
  /** Interval between two entries of a running endpoint, in milliseconds. */
  readonly heartbeatMilliseconds: number;
  /** Monotonic time, in milliseconds. */
  readonly now: () => number;
  /** Called once when an endpoint starts draining, is removed or restarts. */
  readonly onLeaving: (entry: EndpointEntry, reason: LeavingReason) => void;
  /** Called once when a new endpoint accepts work. */
  readonly onReady?: (entry: EndpointEntry, source: EntrySource) => void;
}

/** Last entry of a removed endpoint. */
interface RemovedEndpoint extends CurrentIncarnation {
  readonly removedAt: number;
  /**
   * Sequence number up to which entries of the incarnation are known to be gone;
   * absent if the removal was read from the store.
   */
  readonly goneSequence?: number;
}

interface TrackedEndpoint extends CurrentIncarnation {
  /**
   * Time of eviction; set while an outage may have removed the entry of a
   * running endpoint.
   */
  removalDueAt?: number;
  /** Time of eviction; set while only a peer has reported the endpoint. */
  unconfirmedUntil?: number;
  /**
   * True while only a peer has reported that an entry was written again after its
   * removal, which this process may still have to read.
   */
  hasReturned?: boolean;
}

/**
 * Tracks endpoints from their entries in the store and from reports of peers.
 *
 * Entries expire during a store outage, because endpoints cannot renew them. An
 * entry that is missing after an outage is therefore kept for a grace period,
 * in which a running endpoint writes it again.
 *
 * Newer evidence replaces older one, whoever reports it. What an endpoint says of
 * its own departure binds until another incarnation begins. An entry that is gone,
 * or that is of another incarnation, says less: a later entry of the same
 * incarnation makes the endpoint ready again.
 */
export class EndpointRegistry {
  private readonly tracked = new Map<string, TrackedEndpoint>();
  private readonly removed = new Map<string, RemovedEndpoint>();
  private readonly readyByService = new Map<string, readonly EndpointEntry[]>();
  private lastResponseAt: number;
  private graceUntil = Number.NEGATIVE_INFINITY;
  private readonly softwareHistory: SoftwareVersionHistory;
  private readonly incarnations: EndpointIncarnations;

  /**
   * @param options - Clock, heartbeat interval and callbacks
   */
  constructor(private readonly options: EndpointRegistryOptions) {
    this.lastResponseAt = options.now();
    this.softwareHistory = new SoftwareVersionHistory(options.now);
    this.incarnations = new EndpointIncarnations(options.now);
  }

  /**
   * Records that the store responded; must be called before applying what it
   * returned.
   *
   * @param respondedAt - Monotonic time of the response; earlier than now if
   *     another process received it
   */
  recordStoreResponse(respondedAt = this.options.now()): void {
    const silenceMilliseconds = respondedAt - this.lastResponseAt;
    const expiryMilliseconds =
      this.options.heartbeatMilliseconds * HEARTBEATS_UNTIL_EXPIRY;
    if (silenceMilliseconds >= expiryMilliseconds) {
      this.startGracePeriod();
    }
    this.lastResponseAt = Math.max(this.lastResponseAt, respondedAt);
  }

  /**
   * Starts the period in which running endpoints rewrite entries that the store
   * has lost; must be called before applying what it returns then.
   */
  startGracePeriod(): void {
    const {now} = this.options;
    this.graceUntil = now() + EXPIRED_ENTRY_GRACE_MILLISECONDS;
  }

  /** Replaces all entries by a snapshot; removes endpoints missing from it. */
  replaceAll(entries: readonly EndpointEntry[]): void {
    const ids = new Set(entries.map(entry => entry.id));
    for (const id of [...this.tracked.keys()]) {
      if (!ids.has(id)) {
        this.remove(id);
      }
    }
    entries.forEach(entry => this.put(entry));
    this.softwareHistory.recordSnapshot();
  }

  /**
   * Applies an entry of an endpoint. Entries may be written late: one that is
   * older than the last entry of the same incarnation is ignored, and a
   * draining incarnation does not become ready again. An incarnation that started
   * earlier replaces the current one only if it goes on to write.
   *
   * @param entry - The entry
   * @param followingEntry - Last entry of the endpoint in the same read, if any
   */
  put(entry: EndpointEntry, followingEntry?: EndpointEntry): void {
    const before = this.tracked.get(entry.id);
    const verdict = this.judge(entry, followingEntry);
    if (verdict === 'competes') {
      this.recordCompeting(entry);
    }
    if (
      verdict === 'competes' ||
      verdict === 'outdated' ||
      this.isKnownToBeGone(entry)
    ) {
      return;
    }
    const replaced = verdict === 'replaces' ? this.replace(entry) : undefined;
    if (verdict === 'confirms' && !this.isRepeated(entry)) {
      this.incarnations.recordConfirmation(entry.id);
    }
    this.tracked.set(entry.id, {entry, heardAt: this.readHeardAt(entry)});
    this.recordSoftware(entry);
    this.removed.delete(entry.id);
    this.readyByService.clear();
    if (replaced !== undefined) {
      this.options.onLeaving(replaced, 'restarted');
    }
    if (entry.state === 'draining' && before?.entry.state !== 'draining') {
      this.options.onLeaving(entry, 'draining');
    }
    if (
      entry.state === 'ready' &&
      (before === undefined || verdict === 'replaces')
    ) {
      this.options.onReady?.(entry, 'store');
    }
  }

  /**
   * Adds an endpoint reported by a peer that is new, that has started again, or
   * that the peer has seen again after its removal. It is used immediately and
   * evicted unless an entry of the store confirms it in time.
   */
  addFromPeer(entry: EndpointEntry): void {
    const isTracked = this.tracked.has(entry.id);
    const current = this.findCurrent(entry.id)?.entry;
    if (current !== undefined && !this.isNewerThan(current, entry, isTracked)) {
      return;
    }
    const isReplacing =
      current !== undefined && !isOfSameIncarnation(entry, current);
    const replaced = isReplacing ? this.replace(entry) : undefined;
    const unconfirmedUntil =
      this.options.now() + UNCONFIRMED_ENTRY_LIFETIME_MILLISECONDS;
    this.tracked.set(entry.id, {
      entry,
      heardAt: this.options.now(),
      unconfirmedUntil,
      hasReturned: current !== undefined,
    });
    this.removed.delete(entry.id);
    this.recordSoftware(entry);
    this.readyByService.clear();
    if (replaced !== undefined) {
      this.options.onLeaving(replaced, 'restarted');
    }
    this.options.onReady?.(entry, 'peer');
  }

  /**
   * Applies a departure that a peer has reported: an announced one marks the
   * incarnation as draining, another one removes it until a later entry of it is
   * known.
   */
  applyDeparture(departure: EndpointDeparture): void {
    if (departure.hasNotice) {
      this.markDraining(departure, 'told_by_peer');
      return;
    }
    const entry = this.tracked.get(departure.id)?.entry;
    const {sequence = 0} = departure;
    if (
      entry?.state === 'ready' &&
      entry.startedAt === departure.startedAt &&
      (entry.sequence ?? 0) <= sequence
    ) {
      this.evict(entry, {reason: 'told_by_peer', goneSequence: sequence});
    }
  }

  /** Marks an incarnation as draining that has said so in a response. */
  markDrainingFromResponse(incarnation: EndpointIncarnation): void {
    this.markDraining(incarnation, 'told_by_endpoint');
  }

  private markDraining(
    {id, startedAt}: EndpointIncarnation,
    reason: LeavingReason,
  ): void {
    const current = this.findCurrent(id);
    if (
      current === undefined ||
      current.entry.state === 'draining' ||
      current.entry.startedAt !== startedAt
    ) {
      return;
    }
    const {heardAt} = current;
    const leaving: EndpointEntry = {...current.entry, state: 'draining'};
    if (this.tracked.has(id)) {
      this.tracked.set(id, {entry: leaving, heardAt});
    } else {
      const removedAt = this.options.now();
      this.removed.set(id, {entry: leaving, heardAt, removedAt});
    }
    this.readyByService.clear();
    this.options.onLeaving(leaving, reason);
  }

  /**
   * Removes an endpoint. During the grace period after an outage, the removal
   * of a ready endpoint is delayed until the period ends.
   *
   * @param id - Identifier of the endpoint
   * @param followingEntry - Entry that was written after the removal, if any; the
   *   endpoint stays if that is a later one of the same incarnation
   */
  remove(id: string, followingEntry?: EndpointEntry): void {
    const endpoint = this.tracked.get(id);
    if (
      endpoint === undefined ||
      endpoint.removalDueAt !== undefined ||
      endpoint.hasReturned === true
    ) {
      return;
    }
    if (
      followingEntry?.state === 'ready' &&
      isOfSameIncarnation(followingEntry, endpoint.entry) &&
      isNewer(followingEntry, endpoint.entry)
    ) {
      return;
    }
    const now = this.options.now();
    if (now < this.graceUntil && endpoint.entry.state === 'ready') {
      endpoint.removalDueAt = this.graceUntil;
      return;
    }
    this.evict(endpoint.entry);
  }

  /**
   * Evicts endpoints whose grace period or confirmation time has elapsed, and
   * the records of endpoints that were removed long ago. Must be called after
   * each read of the endpoints.
   */
  evictExpired(): void {
    const now = this.options.now();
    this.softwareHistory.recordRead();
    this.softwareHistory.forgetOld();
    this.incarnations.forgetOld();
    for (const [id, {removedAt}] of this.removed) {
      if (now - removedAt > REMOVED_ENTRY_RETENTION_MILLISECONDS) {
        this.removed.delete(id);
      }
    }
    for (const {entry, removalDueAt, unconfirmedUntil} of [
      ...this.tracked.values(),
    ]) {
      const evictAt = removalDueAt ?? unconfirmedUntil;
      if (evictAt !== undefined && now >= evictAt) {
        this.evict(entry);
      }
    }
  }

  /** Number of endpoints that accept new work, across all services. */
  get readyCount(): number {
    const entries = [...this.tracked.values()].map(endpoint => endpoint.entry);
    return entries.filter(entry => entry.state === 'ready').length;
  }

  /** Finds the entry of an endpoint. */
  find(id: string): EndpointEntry | undefined {
    return this.tracked.get(id)?.entry;
  }

  /**
   * Returns whether an endpoint has come back under its name with other
   * software since the entry was read.
   */
  hasOtherSoftware({id, softwareVersion}: EndpointEntry): boolean {
    const current = this.find(id);
    return current !== undefined && current.softwareVersion !== softwareVersion;
  }

  /**
   * Returns whether an endpoint may have come back under its name with other
   * software: an entry says so that may be a late one.
   */
  mayHaveOtherSoftware({id, softwareVersion}: EndpointEntry): boolean {
    const competing = this.incarnations.findCompeting(id);
    return (
      competing !== undefined && competing.softwareVersion !== softwareVersion
    );
  }

  /**
   * Finds the only software version that a service has had for some time.
   *
   * @returns The version; undefined if it had several or too little is known
   */
  findOnlySoftwareVersion(
    service: string,
    milliseconds: number,
  ): string | undefined {
    this.findAll(service).forEach(entry => this.recordSoftware(entry));
    return this.softwareHistory.findOnly(service, milliseconds);
  }

  /** Finds the endpoints of a service that accept new work. */
  findReady(service: string): readonly EndpointEntry[] {
    const cached = this.readyByService.get(service);
    if (cached !== undefined) {
      return cached;
    }
    const entries = this.findAll(service).filter(
      entry => entry.state === 'ready',
    );
    this.readyByService.set(service, entries);
    return entries;
  }

  /** Finds the endpoints of a service that only finish their work. */
  findDraining(service: string): readonly EndpointEntry[] {
    return this.findAll(service).filter(entry => entry.state === 'draining');
  }

  private findAll(service: string): EndpointEntry[] {
    return [...this.tracked.values()]
      .map(endpoint => endpoint.entry)
      .filter(entry => entry.service === service);
  }

  private findCurrent(id: string): CurrentIncarnation | undefined {
    return this.tracked.get(id) ?? this.removed.get(id);
  }

  private judge(
    entry: EndpointEntry,
    followingEntry: EndpointEntry | undefined,
  ): EntryVerdict {
    const {now, heartbeatMilliseconds} = this.options;
    const current = this.findCurrent(entry.id);
    const competing = this.incarnations.findCompeting(entry.id);
    return judgeEntry(entry, {
      current,
      replacedEntry: this.incarnations.findReplaced(entry),
      competingEntry:
        competing && isOfSameIncarnation(competing, entry)
          ? competing
          : undefined,
      isFollowedByCurrent:
        current !== undefined &&
        followingEntry !== undefined &&
        isOfSameIncarnation(followingEntry, current.entry) &&
        isNewer(followingEntry, current.entry),
      isGracePeriod: now() < this.graceUntil,
      heartbeatMilliseconds,
      now: now(),
    });
  }

  /**
   * Records that an entry's incarnation has replaced the current one.
   *
   * @returns Entry of the replaced incarnation, if its end is news
   */
  private replace(entry: EndpointEntry): EndpointEntry | undefined {
    const current = this.findCurrent(entry.id);
    if (current === undefined) {
      return undefined;
    }
    this.incarnations.recordReplacement(current.entry, entry);
    this.recordSoftware(current.entry);
    const isKnown =
      this.tracked.has(entry.id) ||
      this.removed.get(entry.id)?.goneSequence !== undefined;
    return isKnown ? current.entry : undefined;
  }

  private recordCompeting(entry: EndpointEntry): void {
    this.incarnations.recordCompeting(entry);
    this.recordSoftware(entry);
  }

  /** Returns the time of an entry that is new, or of the last one that was. */
  private readHeardAt(entry: EndpointEntry): number {
    const now = this.options.now();
    return this.isRepeated(entry)
      ? (this.findCurrent(entry.id)?.heardAt ?? now)
      : now;
  }

  /** Returns whether an entry is the last one of the current incarnation again. */
  private isRepeated(entry: EndpointEntry): boolean {
    const current = this.findCurrent(entry.id);
    return (
      current !== undefined &&
      entry.sequence !== undefined &&
      entry.sequence === current.entry.sequence &&
      isOfSameIncarnation(entry, current.entry)
    );
  }

  /** Returns whether what a peer reports is newer than the current entry. */
  private isNewerThan(
    current: EndpointEntry,
    entry: EndpointEntry,
    isTracked: boolean,
  ): boolean {
    if (isTracked && !isLaterStart(entry, current)) {
      return false;
    }
    return (
      isNewer(entry, current) &&
      this.incarnations.findReplaced(entry) === undefined
    );
  }

  private recordSoftware({service, softwareVersion}: EndpointEntry): void {
    this.softwareHistory.record(service, softwareVersion);
  }

  /**
   * Returns whether an entry is of an incarnation that a peer has seen vanish from
   * the store, and not a later one.
   */
  private isKnownToBeGone(entry: EndpointEntry): boolean {
    const removed = this.removed.get(entry.id);
    return (
      removed?.goneSequence !== undefined &&
      entry.sequence !== undefined &&
      isOfSameIncarnation(entry, removed.entry) &&
      entry.sequence <= removed.goneSequence
    );
  }

  private evict(
    entry: EndpointEntry,
    {
      reason = 'entry_removed',
      goneSequence,
    }: {reason?: LeavingReason; goneSequence?: number} = {},
  ): void {
    this.recordSoftware(entry);
    const heardAt = this.findCurrent(entry.id)?.heardAt ?? this.options.now();
    this.tracked.delete(entry.id);
    const removedAt = this.options.now();
    this.removed.set(entry.id, {entry, heardAt, removedAt, goneSequence});
    this.readyByService.clear();
    if (entry.state !== 'draining') {
      this.options.onLeaving(entry, reason);
    }
  }
}

/**
 * Returns whether an entry shows that an endpoint lives after its last known one:
 * a later start, or a later entry of an incarnation that has not announced its
 * departure.
 */
function isNewer(entry: EndpointEntry, lastEntry: EndpointEntry): boolean {
  if (!isOfSameIncarnation(entry, lastEntry)) {
    return (entry.startedAt ?? 0) > (lastEntry.startedAt ?? 0);
  }
  return (
    lastEntry.state === 'ready' &&
    (entry.sequence ?? 0) > (lastEntry.sequence ?? 0)
  );
}

/** Returns whether an entry states a later start than another one. */
function isLaterStart(
  {startedAt}: EndpointEntry,
  {startedAt: otherStart}: EndpointEntry,
): boolean {
  return (
    startedAt !== undefined &&
    otherStart !== undefined &&
    startedAt > otherStart
  );
}
