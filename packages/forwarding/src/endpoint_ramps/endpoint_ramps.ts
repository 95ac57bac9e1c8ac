/**
 * Limits of the open requests of endpoints that start, return or fail.
 */
import type {EndpointEntry} from '@briarpin/coordination';
import {
  ConcurrencyRamp,
  type OpenRequests,
  type ServedRequest,
} from '@briarpin/scheduling';

/**
 * Time without use after which a limit is removed. The last requests of an
 * endpoint often fail after it has left.
 */
const LIFETIME_MILLISECONDS = 600_000;

/** Limit of one endpoint. */
interface TrackedRamp {
  readonly ramp: ConcurrencyRamp;
  /** Time at which it was last changed or read. */
  usedAt: number;
}

/**
 * Keeps a limit for each endpoint that is new or has failed. All others take as
 * many requests as they have slots.
 */
export class EndpointRamps {
  private readonly ramps = new Map<string, TrackedRamp>();

  /**
   * @param options - Monotonic clock, in milliseconds
   */
  constructor(private readonly options: {readonly now: () => number}) {}

  /** Number of endpoints with a limit below their slots. */
  get size(): number {
    return this.ramps.size;
  }

  /** Starts with a small limit for an endpoint that is new or has returned. */
  start(entry: EndpointEntry): void {
    this.store(entry, this.createRamp(entry, true));
  }

  /** Removes the limit of an endpoint that has left. */
  remove(endpointId: string): void {
    this.ramps.delete(endpointId);
  }

  /** Records a response of an endpoint. */
  recordServed(entry: EndpointEntry, served: ServedRequest): void {
    const known = this.ramps.get(entry.id)?.ramp;
    if (known === undefined && served.isInTime) {
      return;
    }
    const ramp = known ?? this.createRamp(entry, false);
    ramp.recordServed(served);
    this.keepWhileLimited(entry, ramp);
  }

  /** Records a refusal, a broken response or none. */
  recordFault(entry: EndpointEntry): void {
    const ramp =
      this.ramps.get(entry.id)?.ramp ?? this.createRamp(entry, false);
    ramp.recordFault();
    this.keepWhileLimited(entry, ramp);
  }

  /**
   * Returns the limit of an endpoint.
   *
   * @param entry - The endpoint
   * @param open - Open requests of all gateways there
   */
  readLimit(entry: EndpointEntry, open: OpenRequests): number {
    const ramp = this.ramps.get(entry.id)?.ramp;
    if (ramp === undefined) {
      return countSlots(entry);
    }
    ramp.recordOpen(open);
    this.keepWhileLimited(entry, ramp);
    return ramp.limit;
  }

  private createRamp(entry: EndpointEntry, isNew: boolean): ConcurrencyRamp {
    const {now} = this.options;
    return new ConcurrencyRamp({now, slots: countSlots(entry), isNew});
  }

  private keepWhileLimited(entry: EndpointEntry, ramp: ConcurrencyRamp): void {
    if (ramp.limit < countSlots(entry)) {
      this.store(entry, ramp);
    } else {
      this.ramps.delete(entry.id);
    }
  }

  private store({id}: EndpointEntry, ramp: ConcurrencyRamp): void {
    const usedAt = this.options.now();
    const known = this.ramps.get(id);
    if (known?.ramp === ramp) {
      known.usedAt = usedAt;
      return;
    }
    for (const [other, tracked] of this.ramps) {
      if (usedAt - tracked.usedAt > LIFETIME_MILLISECONDS) {
        this.ramps.delete(other);
      }
    }
    this.ramps.set(id, {ramp, usedAt});
  }
}

function countSlots({slots}: EndpointEntry): number {
  return Math.max(1, slots);
}
