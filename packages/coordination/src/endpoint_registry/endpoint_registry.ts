/**
 * The endpoints that may be sent work, as their entries in the store tell.
 */
import {
  DEPARTED_ENTRY_MEMORY_MILLISECONDS,
  HEARTBEATS_UNTIL_LAPSE,
  LAPSED_ENTRY_GRACE_MILLISECONDS,
  UNCONFIRMED_ENTRY_MILLISECONDS,
} from '../constants.js';

/** What an endpoint says of itself. */
export interface EndpointEntry {
  /** Name of this life of the endpoint, unless it kept its name. */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly state: 'ready' | 'draining';
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Time for which it is slow after its start, in milliseconds. */
  readonly coldMilliseconds: number;
  /** Start of this life, in milliseconds since the epoch; if it tells. */
  readonly startedAt?: number;
  /** Grows with each entry of one life; if it tells. */
  readonly sequence?: number;
}

/** Why an endpoint is no longer sent work. */
export type LeavingReason =
  'draining' | 'entry_removed' | 'restarted' | 'told_by_peer';

/** Who told of an endpoint. */
export type EntrySource = 'store' | 'peer';

/** One life of an endpoint. */
export interface EndpointLife {
  readonly id: string;
  readonly startedAt?: number;
}

/** Options of {@link EndpointRegistry}. */
export interface EndpointRegistryOptions {
  /** Time between two entries of a live endpoint, in milliseconds. */
  readonly heartbeatMilliseconds: number;
  /** Milliseconds of a clock that never jumps. */
  readonly now: () => number;
  /** Told once when an endpoint begins to leave or is gone. */
  readonly onLeaving: (entry: EndpointEntry, reason: LeavingReason) => void;
  /** Told once when an endpoint that was not known takes work. */
  readonly onReady?: (entry: EndpointEntry, source: EntrySource) => void;
}

/** What remains of an endpoint that is gone. */
interface Departed {
  readonly entry: EndpointEntry;
  readonly departedAt: number;
}

interface Known {
  entry: EndpointEntry;
  /** Set while an outage may have removed the entry of a live endpoint. */
  goneAt?: number;
  /** Set while only a peer has told of it: when it is dropped. */
  unconfirmedUntil?: number;
}

/**
 * Folds the entries of endpoints.
 *
 * Entries lapse while the store is away, because nobody can renew them. An
 * entry that is missing after an outage is therefore used a little longer,
 * until a live endpoint has had the time to write it again.
 */
export class EndpointRegistry {
  private readonly known = new Map<string, Known>();
  private readonly departed = new Map<string, Departed>();
  private readonly ready = new Map<string, readonly EndpointEntry[]>();
  private lastContactAt: number;
  private graceUntil = Number.NEGATIVE_INFINITY;

  /**
   * @param options - Clock, heartbeat and whom to tell
   */
  constructor(private readonly options: EndpointRegistryOptions) {
    this.lastContactAt = options.now();
  }

  /** Notes an answer of the store; called before its records are applied. */
  noteContact(): void {
    const now = this.options.now();
    const silence = now - this.lastContactAt;
    const lapse = this.options.heartbeatMilliseconds * HEARTBEATS_UNTIL_LAPSE;
    if (silence >= lapse) {
      this.graceUntil = now + LAPSED_ENTRY_GRACE_MILLISECONDS;
    }
    this.lastContactAt = now;
  }

  /** Replaces everything by a snapshot; what is missing is removed. */
  replaceAll(entries: readonly EndpointEntry[]): void {
    const ids = new Set(entries.map(entry => entry.id));
    for (const id of [...this.known.keys()]) {
      if (!ids.has(id)) {
        this.remove(id);
      }
    }
    entries.forEach(entry => this.put(entry));
  }

  /**
   * Takes an entry of an endpoint. Entries may be written late: one that is
   * older than what is known of the same life says nothing, and a life that
   * was leaving does not come back.
   */
  put(entry: EndpointEntry): void {
    const before = this.known.get(entry.id)?.entry;
    const last = before ?? this.departed.get(entry.id)?.entry;
    const isSameLife = last?.startedAt === entry.startedAt;
    if (last !== undefined && isSameLife && isOutdated(entry, last)) {
      return;
    }
    this.known.set(entry.id, {entry});
    this.departed.delete(entry.id);
    this.ready.clear();
    if (before !== undefined && !isSameLife) {
      this.options.onLeaving(before, 'restarted');
    }
    if (entry.state === 'draining' && before?.state !== 'draining') {
      this.options.onLeaving(entry, 'draining');
    }
    if (entry.state === 'ready' && (before === undefined || !isSameLife)) {
      this.options.onReady?.(entry, 'store');
    }
  }

  /**
   * Takes the word of a peer that an endpoint has come. It is used at once, and
   * dropped when no entry of the store confirms it.
   */
  putArrived(entry: EndpointEntry): void {
    if (this.known.has(entry.id) || this.departed.has(entry.id)) {
      return;
    }
    const unconfirmedUntil =
      this.options.now() + UNCONFIRMED_ENTRY_MILLISECONDS;
    this.known.set(entry.id, {entry, unconfirmedUntil});
    this.ready.clear();
    this.options.onReady?.(entry, 'peer');
  }

  /** Takes the word of a peer that a life of an endpoint is leaving. */
  putLeaving({id, startedAt}: EndpointLife): void {
    const entry = this.known.get(id)?.entry;
    if (
      entry === undefined ||
      entry.state === 'draining' ||
      entry.startedAt !== startedAt
    ) {
      return;
    }
    const leaving: EndpointEntry = {...entry, state: 'draining'};
    this.known.set(id, {entry: leaving});
    this.ready.clear();
    this.options.onLeaving(leaving, 'told_by_peer');
  }

  /** Takes the removal of an entry. */
  remove(id: string): void {
    const known = this.known.get(id);
    if (known === undefined || known.goneAt !== undefined) {
      return;
    }
    const now = this.options.now();
    if (now < this.graceUntil && known.entry.state === 'ready') {
      known.goneAt = this.graceUntil;
      return;
    }
    this.forget(known.entry);
  }

  /** Drops entries whose time after an outage is over, and old departures. */
  expire(): void {
    const now = this.options.now();
    for (const [id, {departedAt}] of this.departed) {
      if (now - departedAt > DEPARTED_ENTRY_MEMORY_MILLISECONDS) {
        this.departed.delete(id);
      }
    }
    for (const {entry, goneAt, unconfirmedUntil} of [...this.known.values()]) {
      const until = goneAt ?? unconfirmedUntil;
      if (until !== undefined && now >= until) {
        this.forget(entry);
      }
    }
  }

  /** Endpoints of all services that take new work. */
  get readyCount(): number {
    const entries = [...this.known.values()].map(known => known.entry);
    return entries.filter(entry => entry.state === 'ready').length;
  }

  /** The entry of an endpoint. */
  find(id: string): EndpointEntry | undefined {
    return this.known.get(id)?.entry;
  }

  /** Endpoints of a service that take new work. */
  findReady(service: string): readonly EndpointEntry[] {
    const found = this.ready.get(service);
    if (found !== undefined) {
      return found;
    }
    const entries = [...this.known.values()]
      .map(known => known.entry)
      .filter(entry => entry.service === service && entry.state === 'ready');
    this.ready.set(service, entries);
    return entries;
  }

  private forget(entry: EndpointEntry): void {
    this.known.delete(entry.id);
    this.departed.set(entry.id, {entry, departedAt: this.options.now()});
    this.ready.clear();
    if (entry.state !== 'draining') {
      this.options.onLeaving(entry, 'entry_removed');
    }
  }
}

/** True when an entry tells nothing newer than another one of its life. */
function isOutdated(entry: EndpointEntry, last: EndpointEntry): boolean {
  const isBack = last.state === 'draining' && entry.state === 'ready';
  const isOlder = (entry.sequence ?? 0) < (last.sequence ?? 0);
  return isBack || isOlder;
}
