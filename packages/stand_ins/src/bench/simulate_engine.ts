/**
 * Simulation of one engine and its scheduler in virtual time.
 */
import {
  EngineScheduler,
  type AdmissionRule,
  type GenerationRequest,
  type RefusalReason,
  type RequestPolicy,
  type SchedulerPolicy,
} from '@briarpin/scheduling';

import {EngineBatch, type BatchedGeneration} from '../engine/engine_batch.js';
import {computeStepTime, type EngineTimes} from './engine_model.js';

const REPORT_INTERVAL_MILLISECONDS = 500;

/** A request with its arrival time and actual length. */
export interface Arrival {
  readonly request: GenerationRequest;
  /** Arrival time, in milliseconds. */
  readonly time: number;
  /** Actual output length, in tokens; not available to policies. */
  readonly length: number;
  /** True if the output is delivered only once it is complete. */
  readonly isBuffered: boolean;
  readonly policy: RequestPolicy;
}

/** Result of a request. */
export interface RequestResult {
  readonly arrival: Arrival;
  /** Time since the arrival; undefined if no token was generated. */
  firstTokenMilliseconds?: number;
  finishedAt?: number;
  startedAt?: number;
  refusalReason?: RefusalReason;
  refusedAfterMilliseconds?: number;
  /** Total excess of the gaps between tokens over two base step times. */
  stallMilliseconds: number;
  preemptions: number;
}

/** Options of a simulation. */
export interface SimulationOptions {
  readonly arrivals: readonly Arrival[];
  readonly capacityTokens: number;
  readonly times: EngineTimes;
  readonly policy: SchedulerPolicy;
  /**
   * Creates the admission rule; `running` are the generations submitted to the
   * engine.
   */
  readonly createRule?: (running: RunningLengths) => AdmissionRule;
  /** Completed generations whose lengths the scheduler records in advance. */
  readonly history?: readonly Arrival[];
  /**
   * Time at which the simulation stops, in milliseconds. Without it, the
   * simulation runs until no request remains.
   */
  readonly until?: number;
}

/** Running generations by id; only an oracle may read their lengths. */
export type RunningLengths = ReadonlyMap<string, SimulatedGeneration>;

/** A generation in the simulated engine. */
export interface SimulatedGeneration extends BatchedGeneration {
  readonly result: RequestResult;
  lastTokenAt: number;
}

/** Measurements of a simulation. */
export interface SimulationResult {
  readonly results: readonly RequestResult[];
  /** Milliseconds between tokens, one for each token after the first. */
  readonly gaps: readonly number[];
  readonly preemptions: number;
  readonly endedAt: number;
  /** Generated tokens by organisation for each minute of the simulation. */
  readonly tokensByMinute: readonly ReadonlyMap<string, number>[];
  readonly marginDeviations: number;
}

/**
 * Simulates one engine under a scheduler.
 *
 * @param options - Arrivals, engine and policy
 * @returns The measurements
 */
export function simulateEngine(options: SimulationOptions): SimulationResult {
  return new EngineSimulation(options).run();
}

class EngineSimulation {
  private readonly batch: EngineBatch;
  private readonly scheduler: EngineScheduler;
  private readonly running = new Map<string, SimulatedGeneration>();
  private readonly results = new Map<string, RequestResult>();
  private readonly gaps: number[] = [];
  private readonly tokensByMinute: Map<string, number>[] = [];
  private now = 0;
  private nextArrival = 0;
  private startCount = 0;
  private reportedPreemptions = 0;
  private nextReportAt = REPORT_INTERVAL_MILLISECONDS;

  constructor(private readonly options: SimulationOptions) {
    this.batch = new EngineBatch(options.capacityTokens);
    this.scheduler = new EngineScheduler({
      capacityTokens: options.capacityTokens,
      policy: options.policy,
      admissionRule: options.createRule?.(this.running),
      maximumWaiting: 1_000_000,
    });
    for (const {request, length} of options.history ?? []) {
      this.scheduler.recordLength(request, length);
    }
  }

  run(): SimulationResult {
    const {arrivals, until = Number.POSITIVE_INFINITY} = this.options;
    while (this.now < until) {
      this.submitArrivals();
      this.expireRequests();
      this.startGenerations();
      if (this.batch.runningCount + this.batch.waitingCount > 0) {
        this.step();
      } else if (this.nextArrival < arrivals.length) {
        this.now = arrivals[this.nextArrival]?.time ?? this.now;
      } else if (this.scheduler.waitingCount === 0) {
        break;
      } else {
        this.now += 100;
      }
    }
    return {
      results: [...this.results.values()],
      gaps: this.gaps,
      preemptions: this.batch.preemptions,
      endedAt: this.now,
      tokensByMinute: this.tokensByMinute,
      marginDeviations: this.scheduler.marginDeviations,
    };
  }

  private submitArrivals(): void {
    const {arrivals} = this.options;
    for (;;) {
      const arrival = arrivals[this.nextArrival];
      if (arrival === undefined || arrival.time > this.now) {
        return;
      }
      this.nextArrival += 1;
      this.submit(arrival);
    }
  }

  private submit(arrival: Arrival): void {
    const result: RequestResult = {
      arrival,
      stallMilliseconds: 0,
      preemptions: 0,
    };
    const {request, policy, time, isBuffered} = arrival;
    this.results.set(request.id, result);
    const refusal = this.scheduler.submit(request, policy, time, isBuffered);
    if (refusal !== undefined) {
      this.recordRefusal(result, refusal.reason);
    }
  }

  private expireRequests(): void {
    for (const refusal of this.scheduler.expire(this.now)) {
      this.recordRefusal(this.getResult(refusal.id), refusal.reason);
    }
  }

  private recordRefusal(result: RequestResult, reason: RefusalReason): void {
    result.refusalReason = reason;
    result.refusedAfterMilliseconds = Math.max(
      0,
      this.now - result.arrival.time,
    );
  }

  private startGenerations(): void {
    for (;;) {
      const order = this.scheduler.startNext(this.now);
      if (order === undefined) {
        return;
      }
      const result = this.getResult(order.request.id);
      result.startedAt = this.now;
      this.startCount += 1;
      const generation: SimulatedGeneration = {
        id: order.request.id,
        priority: order.priority,
        promptTokens: order.request.promptTokens,
        length: result.arrival.length,
        generated: 0,
        arrival: this.startCount,
        result,
        lastTokenAt: Number.NaN,
      };
      this.running.set(generation.id, generation);
      this.batch.add(generation);
    }
  }

  private step(): void {
    const {advanced, finished, preempted, started} = this.batch.step();
    let prefilledTokens = 0;
    for (const generation of started) {
      prefilledTokens += generation.promptTokens + generation.generated;
    }
    const {times} = this.options;
    this.now += computeStepTime(times, advanced.length, prefilledTokens);
    for (const generation of preempted) {
      (generation as SimulatedGeneration).result.preemptions += 1;
    }
    for (const generation of advanced) {
      this.recordToken(generation as SimulatedGeneration);
    }
    for (const generation of finished) {
      this.running.delete(generation.id);
      this.getResult(generation.id).finishedAt = this.now;
      this.scheduler.recordEnd(generation.id, true, this.now);
    }
    if (this.now >= this.nextReportAt) {
      this.reportPreemptions();
    }
  }

  private recordToken(generation: SimulatedGeneration): void {
    const {result} = generation;
    const {request, time} = result.arrival;
    this.scheduler.recordTokens(generation.id, 1, this.now);
    if (Number.isNaN(generation.lastTokenAt)) {
      result.firstTokenMilliseconds = this.now - time;
    } else {
      const gap = this.now - generation.lastTokenAt;
      this.gaps.push(gap);
      const stallThreshold = 2 * this.options.times.stepMilliseconds;
      result.stallMilliseconds += Math.max(0, gap - stallThreshold);
    }
    generation.lastTokenAt = this.now;
    const minute = Math.floor(this.now / 60_000);
    this.tokensByMinute[minute] ??= new Map();
    const tokens = this.tokensByMinute[minute];
    const {organisation} = request;
    tokens?.set(organisation, (tokens.get(organisation) ?? 0) + 1);
  }

  private reportPreemptions(): void {
    this.nextReportAt = this.now + REPORT_INTERVAL_MILLISECONDS;
    const newPreemptions = this.batch.preemptions - this.reportedPreemptions;
    this.reportedPreemptions = this.batch.preemptions;
    this.scheduler.recordEngineReport({
      preemptions: newPreemptions,
      waiting: this.batch.waitingCount,
    });
  }

  private getResult(id: string): RequestResult {
    const result = this.results.get(id);
    if (result === undefined) {
      throw new Error(`the simulation has no request ${id}`);
    }
    return result;
  }
}
