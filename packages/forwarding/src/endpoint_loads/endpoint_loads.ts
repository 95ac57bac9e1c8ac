/**
 * What a gateway knows of the load and the health of endpoints.
 */
import type {
  EndpointEntry,
  EngineProfile,
  RoutedService,
} from '@briarpin/coordination';
import type {EndpointState} from '@briarpin/scheduling';

/** Weight of the newest answer in the averages of an endpoint. */
const AVERAGE_WEIGHT = 0.15;

/** Time after which an average has lost half of its weight. */
const AVERAGE_HALF_LIFE_MILLISECONDS = 3_000;

/** Work that is open at one endpoint. */
export interface OpenWork {
  requests: number;
  tokens: number;
}

interface Averages {
  failureShare: number;
  latencyMilliseconds: number;
  updatedAt: number;
}

/** Options of {@link EndpointLoads}. */
export interface EndpointLoadsOptions {
  /** Milliseconds of a clock that never jumps. */
  readonly now: () => number;
  /** Time to an endpoint and back, in milliseconds. */
  readonly hopMilliseconds: (entry: EndpointEntry) => number;
}

/** An endpoint with its state; handed to the decision. */
export interface EndpointChoice extends EndpointState {
  readonly entry: EndpointEntry;
}

/**
 * Counts the work that this gateway has open at each endpoint, adds what other
 * gateways told of theirs, and keeps averages of outcomes.
 */
export class EndpointLoads {
  private readonly own = new Map<string, OpenWork>();
  private readonly others = new Map<string, ReadonlyMap<string, OpenWork>>();
  private readonly averages = new Map<string, Averages>();

  /**
   * @param options - Clock and distances
   */
  constructor(private readonly options: EndpointLoadsOptions) {}

  /** Work of this gateway by endpoint. */
  get ownWork(): ReadonlyMap<string, OpenWork> {
    return this.own;
  }

  /** Takes what another gateway has open; replaces what it told before. */
  setOthersWork(gateway: string, work: ReadonlyMap<string, OpenWork>): void {
    this.others.set(gateway, work);
  }

  /** Drops what a gateway told that is gone. */
  forgetGateway(gateway: string): void {
    this.others.delete(gateway);
  }

  /** Adds work at an endpoint; negative numbers take it away. */
  add(endpointId: string, requests: number, tokens: number): void {
    const work = this.own.get(endpointId) ?? {requests: 0, tokens: 0};
    work.requests += requests;
    work.tokens += tokens;
    if (work.requests <= 0 && work.tokens <= 0) {
      this.own.delete(endpointId);
    } else {
      this.own.set(endpointId, work);
    }
  }

  /**
   * Notes how an attempt ended.
   *
   * @param endpointId - Where
   * @param failed - True when the endpoint failed or refused it
   * @param milliseconds - Time to the answer; absent when there was none
   */
  note(endpointId: string, failed: boolean, milliseconds?: number): void {
    const averages = this.decay(endpointId);
    const weight = AVERAGE_WEIGHT;
    averages.failureShare +=
      weight * ((failed ? 1 : 0) - averages.failureShare);
    if (milliseconds !== undefined) {
      averages.latencyMilliseconds +=
        weight * (milliseconds - averages.latencyMilliseconds);
    }
    this.averages.set(endpointId, averages);
  }

  /** Drops the averages of endpoints that are gone. */
  forget(endpointId: string): void {
    this.averages.delete(endpointId);
  }

  /** Describes endpoints of a service for the decision. */
  describe(
    entries: readonly EndpointEntry[],
    service: RoutedService | undefined,
  ): EndpointChoice[] {
    return entries.map(entry => this.describeOne(entry, service?.engine));
  }

  private describeOne(
    entry: EndpointEntry,
    engine: EngineProfile | undefined,
  ): EndpointChoice {
    const work = this.sumWork(entry.id);
    const averages = this.decay(entry.id);
    return {
      entry,
      id: entry.id,
      open: work.requests,
      slots: Math.max(1, entry.slots),
      usedTokens: work.tokens,
      memoryTokens: engine?.memoryTokens ?? Number.POSITIVE_INFINITY,
      hopMilliseconds: this.options.hopMilliseconds(entry),
      failureShare: averages.failureShare,
      latencyMilliseconds:
        engine === undefined ? averages.latencyMilliseconds : 0,
    };
  }

  private sumWork(endpointId: string): OpenWork {
    const sum = {requests: 0, tokens: 0};
    for (const work of [this.own, ...this.others.values()]) {
      const open = work.get(endpointId);
      sum.requests += open?.requests ?? 0;
      sum.tokens += open?.tokens ?? 0;
    }
    return sum;
  }

  private decay(endpointId: string): Averages {
    const now = this.options.now();
    const known = this.averages.get(endpointId);
    if (known === undefined) {
      return {failureShare: 0, latencyMilliseconds: 0, updatedAt: now};
    }
    const trust =
      0.5 ** ((now - known.updatedAt) / AVERAGE_HALF_LIFE_MILLISECONDS);
    return {
      failureShare: known.failureShare * trust,
      latencyMilliseconds: known.latencyMilliseconds * trust,
      updatedAt: now,
    };
  }
}
