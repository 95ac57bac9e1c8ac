/**
 * Slow start of one endpoint: how many open requests it takes now.
 */

/** Limit of an endpoint that has just started or returned. */
const INITIAL_LIMIT = 2;

/** Smallest limit: an endpoint that fails is probed by one request at a time. */
const MINIMUM_LIMIT = 1;

/**
 * Time in which the limit is halved at most once: requests that run together
 * fail together, and show one fault.
 */
const HALVING_INTERVAL_MILLISECONDS = 250;

/**
 * Share of the slots below which slow responses do not reduce the limit of an
 * endpoint that has carried its slots, or that is slow without other work: under
 * overload, or where no endpoint meets the target latency, all are slow, and
 * smaller limits everywhere would only reduce what they serve.
 */
const SLOW_FLOOR_SHARE = 0.25;

/**
 * Time after a fault in which a gateway does not follow the others, which may not
 * have seen the fault yet.
 */
const FAULT_MEMORY_MILLISECONDS = 2_000;

/** Options of {@link ConcurrencyRamp}. */
export interface ConcurrencyRampOptions {
  /** Reads a monotonic clock, in milliseconds. */
  readonly now: () => number;
  /** Requests that the endpoint runs concurrently; the largest limit. */
  readonly slots: number;
  /** True for an endpoint that has just started or returned. */
  readonly isNew: boolean;
}

/** A response of the endpoint. */
export interface ServedRequest {
  /** Open requests of all gateways when it was sent, itself included. */
  readonly openRequests: number;
  /** True if it was served within its target latency. */
  readonly isInTime: boolean;
}

/** Requests of all gateways at the endpoint, as reports show them. */
export interface OpenRequests {
  /** Requests that other gateways have open, of which none shows its progress. */
  readonly others: number;
  /** Open requests of all gateways that have got a first event. */
  readonly answered: number;
}

/**
 * Limit that grows by one with each response in time, and is halved by faults
 * and slow responses (additive increase, multiplicative decrease).
 *
 * Each gateway has its own limit and sees only its own responses. They share what
 * they learn by the open requests of all: a response in time shows that the
 * endpoint carries those that were open, each open stream that has begun counts as
 * a response, and a gateway follows what others keep open unless it has just seen
 * a fault.
 *
 * @example
 * const ramp = new ConcurrencyRamp({now, slots: 24, isNew: true});
 * ramp.recordServed({openRequests: 2, isInTime: true});
 * ramp.limit; //=> 3
 */
export class ConcurrencyRamp {
  private currentLimit: number;
  private hasCarriedSlots: boolean;
  /** True once a response was slow at the smallest limit. */
  private isSlowAlone = false;
  private halvedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param options - Clock, slots and whether the endpoint is new
   */
  constructor(private readonly options: ConcurrencyRampOptions) {
    const {slots, isNew} = options;
    this.currentLimit = isNew ? Math.min(INITIAL_LIMIT, slots) : slots;
    this.hasCarriedSlots = !isNew;
  }

  /** Open requests of all gateways up to which the endpoint takes another. */
  get limit(): number {
    return this.currentLimit;
  }

  /** Records a response of the endpoint. */
  recordServed({openRequests, isInTime}: ServedRequest): void {
    if (isInTime) {
      this.raise(Math.max(this.currentLimit, openRequests) + 1);
      return;
    }
    this.isSlowAlone ||=
      this.currentLimit === MINIMUM_LIMIT && openRequests <= MINIMUM_LIMIT;
    const floor = this.computeSlowFloor();
    if (this.isSlowAlone && this.currentLimit < floor) {
      this.raise(this.currentLimit + 1);
    } else {
      this.halve(floor);
    }
  }

  /** Records a refusal, a broken response or none. */
  recordFault(): void {
    this.halve(MINIMUM_LIMIT);
  }

  /** Records the requests that are open according to reports. */
  recordOpen({others, answered}: OpenRequests): void {
    const sinceFault = this.options.now() - this.halvedAt;
    if (sinceFault >= FAULT_MEMORY_MILLISECONDS) {
      this.raise(Math.max(others, 2 * answered));
    }
  }

  private computeSlowFloor(): number {
    const hasFloor = this.hasCarriedSlots || this.isSlowAlone;
    const share = hasFloor ? SLOW_FLOOR_SHARE : 0;
    return Math.max(MINIMUM_LIMIT, Math.ceil(this.options.slots * share));
  }

  private raise(limit: number): void {
    const {slots} = this.options;
    this.currentLimit = Math.min(slots, Math.max(this.currentLimit, limit));
    this.hasCarriedSlots ||= this.currentLimit === slots;
  }

  private halve(floor: number): void {
    const now = this.options.now();
    if (now - this.halvedAt < HALVING_INTERVAL_MILLISECONDS) {
      return;
    }
    this.halvedAt = now;
    const halved = Math.max(floor, Math.floor(this.currentLimit / 2));
    this.currentLimit = Math.min(this.currentLimit, halved);
  }
}
