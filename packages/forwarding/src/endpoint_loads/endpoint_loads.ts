/**
 * Load and health of endpoints as seen by one gateway.
 */
import type {
  EndpointEntry,
  EngineProfile,
  RoutedService,
} from '@briarpin/coordination';
import {
  computeBatchSlowdown,
  type EndpointState,
  type ServedRequest,
} from '@briarpin/scheduling';
import type {EventLogger, PaceMetric} from '@briarpin/telemetry';

import {computeCopyMilliseconds} from '../compute_copy_milliseconds/compute_copy_milliseconds.js';
import {computeQueueFactor} from '../compute_queue_factor/compute_queue_factor.js';
import {predictDecoding} from '../predict_decoding/predict_decoding.js';
import {createShareFunction} from '../create_share_function/create_share_function.js';
import type {ReportedLoad} from '../dialect/dialect.js';
import {PaceMonitor} from '../pace_monitor/pace_monitor.js';
import {EndpointAverages} from '../endpoint_averages/endpoint_averages.js';
import {EndpointRamps} from '../endpoint_ramps/endpoint_ramps.js';
import {
  EndpointPaces,
  type EndpointPace,
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
  /** Logs changes of the pace of endpoints; absent in simulations. */
  readonly logger?: Pick<EventLogger, 'info'>;
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
  private readonly ramps: EndpointRamps;
  private readonly monitor: PaceMonitor;

  /**
   * @param options - Clock and network round-trip times
   */
  constructor(private readonly options: EndpointLoadsOptions) {
    this.averages = new EndpointAverages(options);
    this.paces = new EndpointPaces(options);
    this.ramps = new EndpointRamps(options);
    this.monitor = new PaceMonitor(options.logger);
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

  /** Time to read one prompt token at an average engine. */
  get prefillMillisecondsPerToken(): number {
    return this.averages.prefillMillisecondsPerToken;
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
   * Records the time to the next events of a generation.
   *
   * @param endpointId - Engine
   * @param milliseconds - Time since the previous event
   * @param count - Number of events that have arrived together
   */
  recordEvent(endpointId: string, milliseconds: number, count = 1): void {
    const {requests} = this.work.sum(endpointId);
    const slowdown = computeBatchSlowdown(requests);
    this.paces.recordSample(endpointId, milliseconds, slowdown, count);
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

  /** Removes the averages, pace and limit of an endpoint that has left. */
  removeAverages(endpointId: string): void {
    this.averages.remove(endpointId);
    this.paces.remove(endpointId);
    this.ramps.remove(endpointId);
    this.monitor.remove(endpointId);
  }

  /** Limits the open requests of an endpoint that is new or has returned. */
  startRamp(entry: EndpointEntry): void {
    this.ramps.start(entry);
  }

  /** Counts the open requests of all gateways at an endpoint. */
  countOpenRequests(endpointId: string): number {
    return this.work.sum(endpointId).requests;
  }

  /** Records a response that changes the limit of an endpoint. */
  recordServed(entry: EndpointEntry, served: ServedRequest): void {
    if (this.paces.isEstimated(entry)) {
      this.ramps.recordServed(entry, served);
    }
  }

  /** Records a refusal of an endpoint, a broken response or none. */
  recordFault(entry: EndpointEntry): void {
    if (this.paces.isEstimated(entry)) {
      this.ramps.recordFault(entry);
    }
  }

  /** Returns the pace, limit and open requests of endpoints, for metrics. */
  listPaces(): PaceMetric[] {
    return this.monitor.list().map(pace => ({
      ...pace,
      openRequests: this.countOpenRequests(pace.endpoint),
    }));
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
    const computeShare = createShareFunction(entries, service, {
      countTokens: id => this.work.sum(id).tokens,
      findDraining: this.options.findDraining,
    });
    const paces = this.paces.estimateAll(
      service?.name ?? '',
      entries.map(({id}) => id),
    );
    return entries.map(entry => {
      const pace = paces.get(entry.id);
      const candidate = this.computeCandidate(entry, engine, {
        evacuationShare: computeShare(entry),
        pace,
      });
      if (pace !== undefined) {
        this.monitor.record(candidate, pace);
      }
      return candidate;
    });
  }

  private computeCandidate(
    entry: EndpointEntry,
    engine: EngineProfile | undefined,
    {
      evacuationShare,
      pace,
    }: {evacuationShare: number; pace: EndpointPace | undefined},
  ): EndpointCandidate {
    const work = this.work.sum(entry.id);
    const own = this.work.local.get(entry.id)?.requests ?? 0;
    const averages = this.averages.read(entry.id);
    return {
      entry,
      id: entry.id,
      openRequests: work.requests,
      slots: Math.max(1, entry.slots),
      concurrencyLimit:
        pace === undefined
          ? Math.max(1, entry.slots)
          : this.ramps.readLimit(
              entry,
              engine === undefined
                ? {others: work.requests - own, answered: 0}
                : {others: 0, answered: countAnswered(work)},
            ),
      usedTokens: work.tokens,
      memoryTokens: engine?.memoryTokens ?? Number.POSITIVE_INFINITY,
      evacuationShare,
      copyMillisecondsPerToken:
        engine?.supportsMoves === true ? computeCopyMilliseconds(engine, 1) : 0,
      roundTripMilliseconds: this.options.roundTripMilliseconds(entry),
      failureShare: averages.failureShare,
      waitMilliseconds:
        engine === undefined
          ? (pace?.milliseconds ?? averages.latencyMilliseconds) *
            computeQueueFactor(work.requests, entry.slots)
          : work.promptTokens *
            averages.millisecondsPerPromptToken *
            (pace?.ratio ?? averages.slowdown),
      decoding: pace && predictDecoding(engine, pace, work.requests),
    };
  }
}

/**
 * Estimates how many generations have got a first event, from the share of the
 * expected memory that belongs to prompts without one.
 */
function countAnswered({requests, tokens, promptTokens}: OpenWork): number {
  return tokens > 0 ? Math.floor(requests * (1 - promptTokens / tokens)) : 0;
}
