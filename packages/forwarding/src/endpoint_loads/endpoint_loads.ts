/**
 * Load and health of endpoints as seen by one gateway.
 */
import type {
  EndpointEntry,
  EngineProfile,
  RoutedService,
} from '@briarpin/coordination';
import {computeBatchSlowdown, type EndpointState} from '@briarpin/scheduling';

import {computeEvacuationShare} from '../compute_evacuation_share/compute_evacuation_share.js';
import {computeCopyMilliseconds} from '../compute_copy_milliseconds/compute_copy_milliseconds.js';
import type {ReportedLoad} from '../dialect/dialect.js';
import {EndpointAverages} from '../endpoint_averages/endpoint_averages.js';
import {
  EndpointPaces,
  type ReportedPace,
} from '../endpoint_paces/endpoint_paces.js';
import {
  OpenWorkTable,
  type OpenWork,
} from '../open_work_table/open_work_table.js';

/** Unfinished work and estimated pace that a gateway reports. */
export interface ReportedWork extends OpenWork, ReportedPace {}

/** Options of {@link EndpointLoads}. */
export interface EndpointLoadsOptions {
  /** Reads a monotonic clock, in milliseconds. */
  readonly now: () => number;
  /** Finds the endpoints of a service that only finish their work. */
  readonly findDraining: (service: string) => readonly EndpointEntry[];
  /** Returns the network round-trip time to an endpoint, in milliseconds. */
  readonly roundTripMilliseconds: (entry: EndpointEntry) => number;
}

/** An endpoint with its current state, as input to endpoint selection. */
export interface EndpointCandidate extends EndpointState {
  readonly entry: EndpointEntry;
}

/**
 * Tracks the load of each endpoint, as the sum of this gateway's unfinished
 * work and the work that other gateways reported, and keeps moving averages of
 * failures and latencies.
 */
export class EndpointLoads {
  private readonly work = new OpenWorkTable();
  private readonly averages: EndpointAverages;
  private readonly paces: EndpointPaces;

  /**
   * @param options - Clock and network round-trip times
   */
  constructor(private readonly options: EndpointLoadsOptions) {
    this.averages = new EndpointAverages(options);
    this.paces = new EndpointPaces(options);
  }

  /** Unfinished work of this gateway by endpoint ID. */
  get localWork(): ReadonlyMap<string, OpenWork> {
    return this.work.local;
  }

  /** Replaces the work and estimates that another gateway has reported. */
  setGatewayWork(
    gateway: string,
    work: ReadonlyMap<string, ReportedWork>,
  ): void {
    this.work.setReported(gateway, work);
    this.paces.setReports(gateway, work);
  }

  /** Removes the reported work of a gateway that is no longer active. */
  removeGateway(gateway: string): void {
    this.work.removeGateway(gateway);
    this.paces.removeGateway(gateway);
  }

  /** Adds work of this gateway at an endpoint. */
  add(endpointId: string, work: Partial<OpenWork>): void {
    this.work.adjust(endpointId, work, 1);
  }

  /** Subtracts work that was added before. */
  remove(endpointId: string, work: Partial<OpenWork>): void {
    this.work.adjust(endpointId, work, -1);
  }

  /** Counts the prompt tokens queued for prefill at an engine. */
  countPendingPromptTokens(endpointId: string): number {
    return this.work.sum(endpointId).promptTokens;
  }

  /**
   * Records the time to the first event of a generation.
   *
   * @param endpointId - Engine
   * @param promptTokens - Tokens of the prompt and of the prompts queued before
   *   it at the engine
   * @param milliseconds - Time since the request was sent
   */
  recordFirstEvent(
    endpointId: string,
    promptTokens: number,
    milliseconds: number,
  ): void {
    this.averages.recordFirstEvent(endpointId, promptTokens, milliseconds);
  }

  /**
   * Records the time between two events of a generation.
   *
   * @param endpointId - Engine
   * @param milliseconds - Time since the previous event
   */
  recordEvent(endpointId: string, milliseconds: number): void {
    const {requests} = this.work.sum(endpointId);
    const slowdown = computeBatchSlowdown(requests);
    this.paces.recordSample(endpointId, milliseconds, slowdown);
  }

  /** Records the load that an endpoint states in a response. */
  recordLoad(endpointId: string, load: ReportedLoad | undefined): void {
    this.paces.recordLoad(endpointId, load);
  }

  /**
   * Records the outcome of an attempt.
   *
   * @param endpointId - Endpoint that received the attempt
   * @param failed - True when the endpoint failed or rejected it
   * @param milliseconds - Response time; absent without a response
   * @param slots - Concurrent requests of a plain endpoint; absent for engines,
   *   whose response time shows nothing of their pace
   */
  recordOutcome(
    endpointId: string,
    failed: boolean,
    milliseconds?: number,
    slots?: number,
  ): void {
    this.averages.recordOutcome(endpointId, failed, milliseconds);
    if (milliseconds !== undefined && slots !== undefined) {
      const others = this.work.sum(endpointId).requests - 1;
      const slowdown = computeQueueFactor(others, slots);
      this.paces.recordSample(endpointId, milliseconds, slowdown);
    }
  }

  /** Removes the averages and the pace of an endpoint that has left. */
  removeAverages(endpointId: string): void {
    this.averages.remove(endpointId);
    this.paces.remove(endpointId);
  }

  /** Returns own estimates of the pace in microseconds, by endpoint ID. */
  createPaceReport(): ReadonlyMap<string, number> {
    return this.paces.createReport();
  }

  /**
   * Computes the current state of endpoints as input to endpoint selection.
   *
   * @param entries - Endpoints of one service
   * @param service - The service; undefined is handled as a plain service
   */
  computeCandidates(
    entries: readonly EndpointEntry[],
    service: RoutedService | undefined,
  ): EndpointCandidate[] {
    const engine = service?.engine;
    const computeShare = this.createShareFunction(entries, service);
    const paces = this.paces.estimateAll(
      service?.name ?? '',
      entries.map(({id}) => id),
    );
    return entries.map(entry =>
      this.computeCandidate(entry, engine, {
        evacuationShare: computeShare(entry),
        paceMilliseconds: paces.get(entry.id),
      }),
    );
  }

  /** Returns the function that computes evacuation shares; 0 without moves. */
  private createShareFunction(
    entries: readonly EndpointEntry[],
    service: RoutedService | undefined,
  ): (entry: EndpointEntry) => number {
    const engine = service?.engine;
    if (engine?.supportsMoves !== true) {
      return () => 0;
    }
    const readMemory = (entry: EndpointEntry) => ({
      ...entry,
      usedTokens: this.work.sum(entry.id).tokens,
    });
    const draining = this.options.findDraining(service?.name ?? '');
    const group = {
      ready: entries.map(readMemory),
      draining: draining.map(readMemory),
    };
    return memoize(
      ({availabilityZone, softwareVersion}) =>
        JSON.stringify([availabilityZone, softwareVersion]),
      entry =>
        computeEvacuationShare(readMemory(entry), group, engine.memoryTokens),
    );
  }

  private computeCandidate(
    entry: EndpointEntry,
    engine: EngineProfile | undefined,
    {
      evacuationShare,
      paceMilliseconds,
    }: {evacuationShare: number; paceMilliseconds: number | undefined},
  ): EndpointCandidate {
    const work = this.work.sum(entry.id);
    const averages = this.averages.read(entry.id);
    return {
      entry,
      id: entry.id,
      openRequests: work.requests,
      slots: Math.max(1, entry.slots),
      concurrencyLimit: Math.max(1, entry.slots),
      usedTokens: work.tokens,
      memoryTokens: engine?.memoryTokens ?? Number.POSITIVE_INFINITY,
      evacuationShare,
      copyMillisecondsPerToken:
        engine?.supportsMoves === true ? computeCopyMilliseconds(engine, 1) : 0,
      roundTripMilliseconds: this.options.roundTripMilliseconds(entry),
      failureShare: averages.failureShare,
      waitMilliseconds:
        engine === undefined
          ? (paceMilliseconds ?? averages.latencyMilliseconds) *
            computeQueueFactor(work.requests, entry.slots)
          : work.promptTokens *
            averages.millisecondsPerPromptToken *
            averages.slowdown,
      decoding: predictDecoding(engine, paceMilliseconds, work.requests),
    };
  }
}

/** Predicts the time between events once an engine also runs the request. */
function predictDecoding(
  engine: EngineProfile | undefined,
  paceMilliseconds: number | undefined,
  requests: number,
): EndpointState['decoding'] {
  if (engine === undefined || paceMilliseconds === undefined) {
    return undefined;
  }
  return {
    eventMilliseconds: paceMilliseconds * computeBatchSlowdown(requests + 1),
    tokensPerEvent: engine.tokensPerEvent,
  };
}

/**
 * Computes how many times longer a call to a plain service takes than without a
 * queue.
 */
function computeQueueFactor(otherRequests: number, slots: number): number {
  const slotCount = Math.max(1, slots);
  const queued = Math.max(0, otherRequests + 1 - slotCount);
  return 1 + queued / slotCount;
}

/** Returns a function that computes one value for all arguments of a key. */
function memoize<Argument, Value>(
  getKey: (argument: Argument) => string,
  compute: (argument: Argument) => Value,
): (argument: Argument) => Value {
  const values = new Map<string, Value>();
  return argument => {
    const key = getKey(argument);
    const value = values.get(key) ?? compute(argument);
    values.set(key, value);
    return value;
  };
}
