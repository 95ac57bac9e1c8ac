/**
 * One engine and its scheduler in virtual time.
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

const REPORT_MILLISECONDS = 500;

/** A request that arrives at a time. */
export interface Arrival {
  readonly request: GenerationRequest;
  /** Milliseconds. */
  readonly time: number;
  /** Tokens that it will have; policies do not know it. */
  readonly length: number;
  readonly deliveredWhole: boolean;
  readonly policy: RequestPolicy;
}

/** What became of a request. */
export interface RequestResult {
  readonly arrival: Arrival;
  /** Milliseconds from arrival; undefined when it never came. */
  firstTokenMilliseconds?: number;
  finishedAt?: number;
  startedAt?: number;
  refused?: RefusalReason;
  refusedAfterMilliseconds?: number;
  /** Time between tokens beyond the usual, added up. */
  stallMilliseconds: number;
  preemptions: number;
}

/** What is simulated. */
export interface SimulationOptions {
  readonly arrivals: readonly Arrival[];
  readonly capacityTokens: number;
  readonly times: EngineTimes;
  readonly policy: SchedulerPolicy;
  /** Builds the rule; `running` are those handed to the engine. */
  readonly createRule?: (running: RunningLengths) => AdmissionRule;
  /** Generations that the scheduler has learned from before. */
  readonly history?: readonly Arrival[];
  /** Stops the simulation, in milliseconds; absent for never. */
  readonly until?: number;
}

/** What the engine runs, with the lengths that only an oracle may read. */
export type RunningLengths = ReadonlyMap<string, SimulatedGeneration>;

/** A generation in the simulated engine. */
export interface SimulatedGeneration extends BatchedGeneration {
  readonly result: RequestResult;
  lastTokenAt: number;
}

/** What a simulation measured. */
export interface SimulationResult {
  readonly results: readonly RequestResult[];
  /** Milliseconds between tokens, one for each token after the first. */
  readonly gaps: readonly number[];
  readonly preemptions: number;
  readonly endedAt: number;
  /** Tokens by organisation in each whole minute. */
  readonly tokensByMinute: readonly ReadonlyMap<string, number>[];
  readonly marginDeviations: number;
}

/**
 * Simulates one engine under a scheduler.
 *
 * @param options - Arrivals, engine and policy
 * @returns What was measured
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
  private readonly minutes: Map<string, number>[] = [];
  private now = 0;
  private nextArrival = 0;
  private startCount = 0;
  private reportedPreemptions = 0;
  private reportAt = REPORT_MILLISECONDS;

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
      this.takeArrivals();
      this.expire();
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
      tokensByMinute: this.minutes,
      marginDeviations: this.scheduler.marginDeviations,
    };
  }

  private takeArrivals(): void {
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
    const {request, policy, time, deliveredWhole} = arrival;
    this.results.set(request.id, result);
    const refusal = this.scheduler.submit(
      request,
      policy,
      time,
      deliveredWhole,
    );
    if (refusal !== undefined) {
      this.refuse(result, refusal.reason);
    }
  }

  private expire(): void {
    for (const refusal of this.scheduler.expire(this.now)) {
      this.refuse(this.resultOf(refusal.id), refusal.reason);
    }
  }

  private refuse(result: RequestResult, reason: RefusalReason): void {
    result.refused = reason;
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
      const result = this.resultOf(order.request.id);
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
    let computed = 0;
    for (const generation of started) {
      computed += generation.promptTokens + generation.generated;
    }
    const {times} = this.options;
    this.now += computeStepTime(times, advanced.length, computed);
    for (const generation of preempted) {
      (generation as SimulatedGeneration).result.preemptions += 1;
    }
    for (const generation of advanced) {
      this.noteToken(generation as SimulatedGeneration);
    }
    for (const generation of finished) {
      this.running.delete(generation.id);
      this.resultOf(generation.id).finishedAt = this.now;
      this.scheduler.recordEnd(generation.id, true, this.now);
    }
    if (this.now >= this.reportAt) {
      this.report();
    }
  }

  private noteToken(generation: SimulatedGeneration): void {
    const {result} = generation;
    const {request, time} = result.arrival;
    this.scheduler.recordTokens(generation.id, 1, this.now);
    if (Number.isNaN(generation.lastTokenAt)) {
      result.firstTokenMilliseconds = this.now - time;
    } else {
      const gap = this.now - generation.lastTokenAt;
      this.gaps.push(gap);
      const usual = 2 * this.options.times.stepMilliseconds;
      result.stallMilliseconds += Math.max(0, gap - usual);
    }
    generation.lastTokenAt = this.now;
    const minute = Math.floor(this.now / 60_000);
    this.minutes[minute] ??= new Map();
    const tokens = this.minutes[minute];
    const {organisation} = request;
    tokens?.set(organisation, (tokens.get(organisation) ?? 0) + 1);
  }

  private report(): void {
    this.reportAt = this.now + REPORT_MILLISECONDS;
    const fresh = this.batch.preemptions - this.reportedPreemptions;
    this.reportedPreemptions = this.batch.preemptions;
    this.scheduler.recordEngineReport({
      preemptions: fresh,
      waiting: this.batch.waitingCount,
    });
  }

  private resultOf(id: string): RequestResult {
    const result = this.results.get(id);
    if (result === undefined) {
      throw new Error(`the simulation has no request ${id}`);
    }
    return result;
  }
}
