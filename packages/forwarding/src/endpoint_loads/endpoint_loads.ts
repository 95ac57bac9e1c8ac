/**
 * Load and health of endpoints as seen by one gateway.
 */
import type {
  EndpointEntry,
  EngineProfile,
  RoutedService,
} from '@briarpin/coordination';
import type {EndpointState} from '@briarpin/scheduling';

import {computeEvacuationShare} from '../compute_evacuation_share/compute_evacuation_share.js';
import {computeCopyMilliseconds} from '../compute_copy_milliseconds/compute_copy_milliseconds.js';

/**
 * Smoothing factor of the exponential moving averages: weight of the newest
 * sample, 0 to 1.
 */
const AVERAGE_WEIGHT = 0.15;

/**
 * Half-life of an average: without new samples it decays to its neutral value.
 */
const AVERAGE_HALF_LIFE_MILLISECONDS = 3_000;

/**
 * Initial estimate of the prefill time per prompt token, in milliseconds, used
 * until first events have been observed. Assumes a chunked prefill that shares
 * its steps with running generations.
 */
const INITIAL_MILLISECONDS_PER_PROMPT_TOKEN = 0.15;

/** Bounds of an engine's prefill time relative to all engines. */
const MINIMUM_SLOWDOWN = 0.5;
const MAXIMUM_SLOWDOWN = 10;

/** Unfinished work at one endpoint. */
export interface OpenWork {
  readonly requests: number;
  /** Estimated memory demand, in tokens. */
  readonly tokens: number;
  /** Prompts that have not produced a first event, in tokens. */
  readonly promptTokens: number;
}

const NO_WORK: OpenWork = {requests: 0, tokens: 0, promptTokens: 0};

/** Exponential moving averages of an endpoint's outcomes. */
interface Averages {
  failureShare: number;
  latencyMilliseconds: number;
  /** Prefill time per token relative to all engines; 1 is the average. */
  slowdown: number;
  updatedAt: number;
}

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
  private readonly localWorkByEndpoint = new Map<string, OpenWork>();
  private readonly workByGateway = new Map<
    string,
    ReadonlyMap<string, OpenWork>
  >();
  private readonly averages = new Map<string, Averages>();
  private millisecondsPerPromptToken = INITIAL_MILLISECONDS_PER_PROMPT_TOKEN;

  /**
   * @param options - Clock and network round-trip times
   */
  constructor(private readonly options: EndpointLoadsOptions) {}

  /** Unfinished work of this gateway by endpoint ID. */
  get localWork(): ReadonlyMap<string, OpenWork> {
    return this.localWorkByEndpoint;
  }

  /** Replaces the work that another gateway has reported, by endpoint ID. */
  setGatewayWork(gateway: string, work: ReadonlyMap<string, OpenWork>): void {
    this.workByGateway.set(gateway, work);
  }

  /** Removes the reported work of a gateway that is no longer active. */
  removeGateway(gateway: string): void {
    this.workByGateway.delete(gateway);
  }

  /** Adds work of this gateway at an endpoint. */
  add(endpointId: string, work: Partial<OpenWork>): void {
    this.adjustWork(endpointId, work, 1);
  }

  /** Subtracts work that was added before. */
  remove(endpointId: string, work: Partial<OpenWork>): void {
    this.adjustWork(endpointId, work, -1);
  }

  /** Time to read one prompt token at an average engine. */
  get prefillMillisecondsPerToken(): number {
    return this.millisecondsPerPromptToken;
  }

  /** Counts the prompt tokens queued for prefill at an engine. */
  countPendingPromptTokens(endpointId: string): number {
    return this.sumWork(endpointId).promptTokens;
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
    const averages = this.computeDecayedAverages(endpointId);
    averages.failureShare -= AVERAGE_WEIGHT * averages.failureShare;
    if (promptTokens > 0) {
      const perToken = milliseconds / promptTokens;
      const ratio = perToken / this.millisecondsPerPromptToken;
      const bounded = Math.min(
        MAXIMUM_SLOWDOWN,
        Math.max(MINIMUM_SLOWDOWN, ratio),
      );
      averages.slowdown += AVERAGE_WEIGHT * (bounded - averages.slowdown);
      this.millisecondsPerPromptToken +=
        AVERAGE_WEIGHT * (perToken - this.millisecondsPerPromptToken);
    }
    this.averages.set(endpointId, averages);
  }

  /**
   * Records the outcome of an attempt.
   *
   * @param endpointId - Endpoint that received the attempt
   * @param failed - True when the endpoint failed or rejected it
   * @param milliseconds - Response time; absent without a response
   */
  recordOutcome(
    endpointId: string,
    failed: boolean,
    milliseconds?: number,
  ): void {
    const averages = this.computeDecayedAverages(endpointId);
    const weight = AVERAGE_WEIGHT;
    averages.failureShare +=
      weight * ((failed ? 1 : 0) - averages.failureShare);
    if (milliseconds !== undefined) {
      averages.latencyMilliseconds +=
        weight * (milliseconds - averages.latencyMilliseconds);
    }
    this.averages.set(endpointId, averages);
  }

  /** Removes the averages of an endpoint that has left. */
  removeAverages(endpointId: string): void {
    this.averages.delete(endpointId);
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
    return entries.map(entry =>
      this.computeCandidate(entry, engine, computeShare(entry)),
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
      usedTokens: this.sumWork(entry.id).tokens,
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
    evacuationShare: number,
  ): EndpointCandidate {
    const work = this.sumWork(entry.id);
    const averages = this.computeDecayedAverages(entry.id);
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
          ? predictCallMilliseconds(averages, work, entry.slots)
          : work.promptTokens *
            this.millisecondsPerPromptToken *
            averages.slowdown,
    };
  }

  private adjustWork(
    endpointId: string,
    {requests = 0, tokens = 0, promptTokens = 0}: Partial<OpenWork>,
    sign: 1 | -1,
  ): void {
    const work = this.localWorkByEndpoint.get(endpointId) ?? NO_WORK;
    const changed = {
      requests: work.requests + sign * requests,
      tokens: work.tokens + sign * tokens,
      promptTokens: work.promptTokens + sign * promptTokens,
    };
    if (changed.requests <= 0 && changed.tokens <= 0) {
      this.localWorkByEndpoint.delete(endpointId);
    } else {
      this.localWorkByEndpoint.set(endpointId, changed);
    }
  }

  private sumWork(endpointId: string): OpenWork {
    const sum = {requests: 0, tokens: 0, promptTokens: 0};
    for (const work of [
      this.localWorkByEndpoint,
      ...this.workByGateway.values(),
    ]) {
      const open = work.get(endpointId) ?? NO_WORK;
      sum.requests += open.requests;
      sum.tokens += open.tokens;
      sum.promptTokens += open.promptTokens;
    }
    return sum;
  }

  private computeDecayedAverages(endpointId: string): Averages {
    const now = this.options.now();
    const previous = this.averages.get(endpointId);
    if (previous === undefined) {
      return {
        failureShare: 0,
        latencyMilliseconds: 0,
        slowdown: 1,
        updatedAt: now,
      };
    }
    const remainingWeight =
      0.5 ** ((now - previous.updatedAt) / AVERAGE_HALF_LIFE_MILLISECONDS);
    return {
      failureShare: previous.failureShare * remainingWeight,
      latencyMilliseconds: previous.latencyMilliseconds * remainingWeight,
      slowdown: 1 + (previous.slowdown - 1) * remainingWeight,
      updatedAt: now,
    };
  }
}

/** Predicts the response time of a plain service, including queueing. */
function predictCallMilliseconds(
  {latencyMilliseconds}: Averages,
  {requests}: OpenWork,
  slots: number,
): number {
  const slotCount = Math.max(1, slots);
  const queued = Math.max(0, requests + 1 - slotCount);
  return latencyMilliseconds * (1 + queued / slotCount);
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
