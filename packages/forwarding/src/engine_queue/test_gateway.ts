/**
 * A gateway with a queue before its engines, for the tests of that queue.
 */
import {VirtualClock, type EndpointEntry} from '@briarpin/coordination';

import type {EngineAcquisition} from '../engine_acquisition/engine_acquisition.js';
import {
  createEligibility,
  type EligibilityFixture,
} from '../endpoint_eligibility/eligibility_fixture.js';
import {EndpointLoads} from '../endpoint_loads/endpoint_loads.js';
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';
import {EngineQueue} from './engine_queue.js';

/** Memory of each engine. */
export const MEMORY_TOKENS = 10_000;
const SERVICE = {
  name: 'text',
  engine: {memoryTokens: MEMORY_TOKENS, slots: 8, supportsMoves: false},
};

/** Creates the entry of a ready engine. */
export function createEntry(id: string): EndpointEntry {
  return {
    id,
    service: 'text',
    host: id,
    port: 80,
    availabilityZone: 'east-1',
    state: 'ready',
    slots: 8,
    softwareVersion: 'v1',
    coldMilliseconds: 0,
  };
}

/** A gateway with one queue and the engines that its registry lists. */
export class TestGateway {
  readonly clock = new VirtualClock();
  readonly events: string[] = [];
  engines: EndpointEntry[] = [createEntry('e1')];
  readonly shutdown = {hasBegun: false};
  readonly loads = new EndpointLoads({
    now: () => this.clock.now(),
    findDraining: () => [],
    roundTripMilliseconds: () => 1,
  });
  readonly queue: EngineQueue = new EngineQueue({
    clock: this.clock,
    random: () => 0.5,
  });
  readonly context: ForwardingContext;

  /**
   * @param restrictions - What restricts the use of the engines
   */
  constructor(restrictions: Partial<EligibilityFixture> = {}) {
    this.context = this.createContext(restrictions);
  }

  /** Submits a request and returns its outcome as soon as it is known. */
  submit(
    overrides: {
      promptTokens?: number;
      priority?: number;
      timeoutMilliseconds?: number;
      triedEndpointIds?: string[];
      origin?: {service: string; softwareVersion: string};
      isCall?: boolean;
      organisation?: string;
    } = {},
  ): {outcome?: EngineAcquisition; controller: AbortController} {
    const controller = new AbortController();
    const arrivedAt = this.clock.now();
    const {timeoutMilliseconds = 30_000} = overrides;
    const exchange = {
      metadata: {
        requestId: 'r',
        promptTokens: overrides.promptTokens ?? 3_000,
        maximumOutputTokens: 1_000,
        estimatedOutputTokens: 500,
      },
      route: {
        name: 'guide',
        priority: overrides.priority ?? 2,
        targetLatencyMilliseconds: 4_000,
      },
      service: overrides.isCall ? {name: 'desk'} : SERVICE,
      organisation: overrides.organisation && {name: overrides.organisation},
      arrivedAt,
      expiresAt: arrivedAt + timeoutMilliseconds,
      signal: controller.signal,
      triedEndpointIds: overrides.triedEndpointIds ?? [],
      origin: overrides.origin,
    } as unknown as Exchange;
    const submitted: {
      outcome?: EngineAcquisition;
      controller: AbortController;
    } = {controller};
    void this.queue
      .acquire(exchange, this.context)
      .then(outcome => (submitted.outcome = outcome));
    return submitted;
  }

  /** Occupies the memory of an engine. */
  fill(id: string, tokens = MEMORY_TOKENS): void {
    this.loads.add(id, {requests: 1, tokens});
  }

  /** Releases the memory of an engine. */
  release(id: string, tokens = MEMORY_TOKENS): void {
    this.loads.remove(id, {requests: 1, tokens});
  }

  private createContext(
    restrictions: Partial<EligibilityFixture>,
  ): ForwardingContext {
    const context = {
      clock: this.clock,
      random: () => 0.5,
      loads: this.loads,
      eligibility: createEligibility({
        entries: [],
        endpoints: {
          findReady: () => this.engines,
          hasOtherSoftware: () => false,
        },
        ...restrictions,
      }),
      shutdown: this.shutdown,
      histograms: {record: () => undefined},
      metrics: {countQueueRejection: () => undefined},
      logger: {
        info: (event: string) => this.events.push(event),
        warn: (event: string) => this.events.push(event),
        error: (event: string) => this.events.push(event),
      },
    };
    return context as unknown as ForwardingContext;
  }
}

/** Returns whether a request has no outcome yet. */
export function isWaiting({outcome}: {outcome?: EngineAcquisition}): boolean {
  return outcome === undefined;
}
