/**
 * What a gateway knows of the load and the health of endpoints.
 */
import type {
  EndpointEntry,
  EngineProfile,
  RoutedService,
} from '@briarpin/coordination';
import type {EndpointState} from '@briarpin/scheduling';

import {computeCopyMilliseconds} from '../compute_copy_milliseconds/compute_copy_milliseconds.js';

/** Weight of the newest answer in the averages of an endpoint. */
const AVERAGE_WEIGHT = 0.15;

/** Time after which an average has lost half of its weight. */
const AVERAGE_HALF_LIFE_MILLISECONDS = 3_000;

/**
 * Time to read one prompt token until first events have shown it, in
 * milliseconds: a chunked prefill that shares its steps with running work.
 */
const FIRST_MILLISECONDS_PER_PROMPT_TOKEN = 0.15;

/** Bounds of how much slower or faster an engine is than the others. */
const MINIMUM_SLOWNESS = 0.5;
const MAXIMUM_SLOWNESS = 10;

/** Work that is open at one endpoint. */
export interface OpenWork {
  readonly requests: number;
  /** Memory that it is expected to take, in tokens. */
  readonly tokens: number;
  /** Prompts without a first event, in tokens. */
  readonly promptTokens: number;
}

const NO_WORK: OpenWork = {requests: 0, tokens: 0, promptTokens: 0};

/** Memory of the engines of a zone, in tokens. */
interface ZoneMemory {
  used: number;
  total: number;
}

interface Averages {
  failureShare: number;
  latencyMilliseconds: number;
  /** Time to first events against that of all engines. */
  slowness: number;
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
  private millisecondsPerPromptToken = FIRST_MILLISECONDS_PER_PROMPT_TOKEN;

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

  /** Adds work at an endpoint. */
  add(endpointId: string, work: Partial<OpenWork>): void {
    this.change(endpointId, work, 1);
  }

  /** Takes away work that was added. */
  remove(endpointId: string, work: Partial<OpenWork>): void {
    this.change(endpointId, work, -1);
  }

  /** Prompts that an engine has to read before one that comes now. */
  promptTokensAt(endpointId: string): number {
    return this.sumWork(endpointId).promptTokens;
  }

  /**
   * Notes the time to a first event.
   *
   * @param endpointId - Engine
   * @param promptTokens - The prompt and those before it at the engine
   * @param milliseconds - Time from the sending
   */
  noteFirstEvent(
    endpointId: string,
    promptTokens: number,
    milliseconds: number,
  ): void {
    const averages = this.decay(endpointId);
    averages.failureShare -= AVERAGE_WEIGHT * averages.failureShare;
    if (promptTokens > 0) {
      const perToken = milliseconds / promptTokens;
      const seen = perToken / this.millisecondsPerPromptToken;
      const bounded = Math.min(
        MAXIMUM_SLOWNESS,
        Math.max(MINIMUM_SLOWNESS, seen),
      );
      averages.slowness += AVERAGE_WEIGHT * (bounded - averages.slowness);
      this.millisecondsPerPromptToken +=
        AVERAGE_WEIGHT * (perToken - this.millisecondsPerPromptToken);
    }
    this.averages.set(endpointId, averages);
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
    const engine = service?.engine;
    const zones = this.sumZones(entries, engine);
    return entries.map(entry =>
      this.describeOne(entry, engine, zones.get(entry.availabilityZone)),
    );
  }

  /** Tokens taken and there are in the engines of each zone. */
  private sumZones(
    entries: readonly EndpointEntry[],
    engine: EngineProfile | undefined,
  ): ReadonlyMap<string, ZoneMemory> {
    const zones = new Map<string, ZoneMemory>();
    if (engine === undefined) {
      return zones;
    }
    for (const {availabilityZone, id} of entries) {
      const zone = zones.get(availabilityZone) ?? {used: 0, total: 0};
      zone.used += this.sumWork(id).tokens;
      zone.total += engine.memoryTokens;
      zones.set(availabilityZone, zone);
    }
    return zones;
  }

  private describeOne(
    entry: EndpointEntry,
    engine: EngineProfile | undefined,
    zone: ZoneMemory | undefined,
  ): EndpointChoice {
    const work = this.sumWork(entry.id);
    const averages = this.decay(entry.id);
    return {
      entry,
      id: entry.id,
      openRequests: work.requests,
      slots: Math.max(1, entry.slots),
      usedTokens: work.tokens,
      memoryTokens: engine?.memoryTokens ?? Number.POSITIVE_INFINITY,
      evacuationShare: computeEvacuationShare(engine, zone),
      copyMillisecondsPerToken:
        engine?.supportsMoves === true ? computeCopyMilliseconds(engine, 1) : 0,
      hopMilliseconds: this.options.hopMilliseconds(entry),
      failureShare: averages.failureShare,
      waitMilliseconds:
        engine === undefined
          ? predictCallMilliseconds(averages, work, entry.slots)
          : work.promptTokens *
            this.millisecondsPerPromptToken *
            averages.slowness,
    };
  }

  private change(
    endpointId: string,
    {requests = 0, tokens = 0, promptTokens = 0}: Partial<OpenWork>,
    sign: 1 | -1,
  ): void {
    const work = this.own.get(endpointId) ?? NO_WORK;
    const changed = {
      requests: work.requests + sign * requests,
      tokens: work.tokens + sign * tokens,
      promptTokens: work.promptTokens + sign * promptTokens,
    };
    if (changed.requests <= 0 && changed.tokens <= 0) {
      this.own.delete(endpointId);
    } else {
      this.own.set(endpointId, changed);
    }
  }

  private sumWork(endpointId: string): OpenWork {
    const sum = {requests: 0, tokens: 0, promptTokens: 0};
    for (const work of [this.own, ...this.others.values()]) {
      const open = work.get(endpointId) ?? NO_WORK;
      sum.requests += open.requests;
      sum.tokens += open.tokens;
      sum.promptTokens += open.promptTokens;
    }
    return sum;
  }

  private decay(endpointId: string): Averages {
    const now = this.options.now();
    const known = this.averages.get(endpointId);
    if (known === undefined) {
      return {
        failureShare: 0,
        latencyMilliseconds: 0,
        slowness: 1,
        updatedAt: now,
      };
    }
    const trust =
      0.5 ** ((now - known.updatedAt) / AVERAGE_HALF_LIFE_MILLISECONDS);
    return {
      failureShare: known.failureShare * trust,
      latencyMilliseconds: known.latencyMilliseconds * trust,
      slowness: 1 + (known.slowness - 1) * trust,
      updatedAt: now,
    };
  }
}

/** Part of the rest of a zone that its work would take if an engine left. */
function computeEvacuationShare(
  engine: EngineProfile | undefined,
  zone: ZoneMemory | undefined,
): number {
  if (engine === undefined || zone === undefined || !engine.supportsMoves) {
    return 0;
  }
  const rest = zone.total - engine.memoryTokens;
  return rest <= 0 ? Number.POSITIVE_INFINITY : zone.used / rest;
}

/** Predicts the time of a call at a plain service, its queue included. */
function predictCallMilliseconds(
  {latencyMilliseconds}: Averages,
  {requests}: OpenWork,
  slots: number,
): number {
  const places = Math.max(1, slots);
  const queued = Math.max(0, requests + 1 - places);
  return latencyMilliseconds * (1 + queued / places);
}
