/**
 * The endpoints that may be sent work, as their entries in the store tell.
 */
import {
  HEARTBEATS_UNTIL_LAPSE,
  LAPSED_ENTRY_GRACE_MILLISECONDS,
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
}

/** Why an endpoint is no longer sent work. */
export type LeavingReason = 'draining' | 'entry_removed' | 'restarted';

/** Options of {@link EndpointRegistry}. */
export interface EndpointRegistryOptions {
  /** Time between two entries of a live endpoint, in milliseconds. */
  readonly heartbeatMilliseconds: number;
  /** Milliseconds of a clock that never jumps. */
  readonly now: () => number;
  /** Told once when an endpoint begins to leave or is gone. */
  readonly onLeaving: (entry: EndpointEntry, reason: LeavingReason) => void;
  /** Told once when an endpoint that was not known takes work. */
  readonly onReady?: (entry: EndpointEntry) => void;
}

interface Known {
  entry: EndpointEntry;
  /** Set while an outage may have removed the entry of a live endpoint. */
  goneAt?: number;
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

  /** Takes the newest entry of an endpoint. */
  put(entry: EndpointEntry): void {
    const before = this.known.get(entry.id)?.entry;
    this.known.set(entry.id, {entry});
    this.ready.clear();
    if (before !== undefined && before.startedAt !== entry.startedAt) {
      this.options.onLeaving(before, 'restarted');
    }
    if (entry.state === 'draining' && before?.state !== 'draining') {
      this.options.onLeaving(entry, 'draining');
    }
    if (entry.state === 'ready' && before?.startedAt !== entry.startedAt) {
      this.options.onReady?.(entry);
    }
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

  /** Drops entries whose time after an outage is over. */
  expire(): void {
    const now = this.options.now();
    for (const {entry, goneAt} of [...this.known.values()]) {
      if (goneAt !== undefined && now >= goneAt) {
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
    this.ready.clear();
    if (entry.state !== 'draining') {
      this.options.onLeaving(entry, 'entry_removed');
    }
  }
}
