/**
 * Runs generations on the engine beside this sidecar.
 */
import {
  resolvePolicy,
  SUSPICIONS_STREAM,
  type PolicySubject,
} from '@briarpin/coordination';
import {
  FailureKind,
  Outcome,
  type EngineLoad,
  type GenerateRequest,
  type LoadReport,
  type SuspicionRecord,
} from '@briarpin/messages';
import {
  EngineScheduler,
  type GenerationRequest,
  type Refusal,
  type RefusalReason,
  type StartOrder,
} from '@briarpin/scheduling';

import {runTask} from '@briarpin/telemetry';
import type {
  EngineClient,
  EngineStream,
  EngineStreamEnd,
} from '../engine/engine_client.js';
import {createFailure, type FailureDetails} from '../shared/failures.js';
import type {ProcessContext} from '../shared/process_context.js';
import {toClassName} from '../shared/request_class.js';
import {EngineLives, epochOf} from './engine_lives.js';
import {Generation} from './generation.js';

const CHARACTERS_PER_TOKEN = 4;
const PUMP_MILLISECONDS = 100;
const FOREIGN_REPORTS = 5;

/**
 * Time for which an engine may leave load reads unanswered before it is taken
 * for dead; several times as long as one read waits.
 */
const SILENT_ENGINE_MILLISECONDS = 10_000;

/** Pause between two reads of the load of an engine that does not answer. */
const PROBE_PAUSE_MILLISECONDS = 100;

/** Options of a {@link ModelRunner}. */
export interface ModelRunnerOptions {
  readonly service: string;
  readonly maximumWaiting: number;
  readonly bufferedTokensPerStream: number;
  readonly resumeGraceMilliseconds: number;
  readonly loadReportMilliseconds: number;
}

interface Attempt {
  readonly request: GenerateRequest;
  readonly generation: Generation;
  readonly enqueuedAt: number;
  /** Milliseconds since the epoch; absolute at this instance. */
  readonly deadline: number;
  readonly cancel: AbortController;
  /** Life of the engine in which it was started; empty before. */
  epoch: string;
  finishedAt?: number;
}

const FAILURE_OF_REFUSAL: Readonly<Record<RefusalReason, FailureKind>> = {
  overloaded: FailureKind.OVERLOADED,
  too_many_waiting: FailureKind.OVER_ALLOWANCE,
  deadline_passed: FailureKind.DEADLINE_PASSED,
  too_large: FailureKind.TOO_LARGE,
  quarantined: FailureKind.QUARANTINED,
};

/**
 * Owns all work of one engine.
 *
 * Every decision is the scheduler's; this class carries them out and keeps
 * the tokens of each generation until its reader has them.
 */
export class ModelRunner {
  private readonly scheduler: EngineScheduler;
  private readonly attempts = new Map<string, Attempt>();
  private readonly revoked = new Set<string>();
  private load: EngineLoad | undefined;
  private readonly lives: EngineLives;
  /** Tokens at the engine that this sidecar did not start, by last reports. */
  private foreignTokens: number[] = [];
  private leaving = false;

  constructor(
    private readonly context: ProcessContext,
    private readonly engine: EngineClient,
    private readonly options: ModelRunnerOptions,
  ) {
    this.lives = new EngineLives(context.instance);
    this.scheduler = new EngineScheduler({
      capacityTokens: 0,
      policy: this.policyFor({}),
      maximumWaiting: options.maximumWaiting,
    });
  }

  /** Generations that run or whose tokens have not all been read. */
  get openCount(): number {
    let count = 0;
    for (const attempt of this.attempts.values()) {
      const {generation} = attempt;
      const isRead =
        generation.end !== undefined && generation.unreadCount === 0;
      count += isRead ? 0 : 1;
    }
    return count;
  }

  get runningCount(): number {
    return this.scheduler.runningCount;
  }

  get waitingCount(): number {
    return this.scheduler.waitingCount;
  }

  /** The last load report of the engine; undefined when it is not reached. */
  get engineLoad(): EngineLoad | undefined {
    return this.load;
  }

  /** Follows the engine's load and drives waiting work. */
  async run(): Promise<void> {
    const {clock, signal} = this.context;
    let lastLoad = Number.NEGATIVE_INFINITY;
    while (!signal.aborted) {
      if (clock.now() - lastLoad >= this.options.loadReportMilliseconds) {
        lastLoad = clock.now();
        const load = await this.engine.readLoad();
        this.takeLoad(load.unwrapOr(undefined), lastLoad);
      }
      this.sweep();
      this.pump();
      // Submissions and ends drive the work themselves; only time does not.
      const pause =
        this.scheduler.waitingCount > 0
          ? PUMP_MILLISECONDS
          : this.options.loadReportMilliseconds;
      await clock.sleep(pause, signal);
    }
  }

  /** Refuses new work and what waits; what runs goes on. */
  leave(): void {
    this.leaving = true;
    for (const [id, attempt] of this.attempts) {
      if (this.scheduler.withdraw(id)) {
        this.fail(attempt, FailureKind.LEAVING);
      }
    }
  }

  /**
   * Takes an attempt.
   *
   * @param request - The attempt
   * @returns Its generation, which may have failed already
   */
  submit(request: GenerateRequest): Generation {
    const {clock} = this.context;
    const now = clock.now();
    const attempt: Attempt = {
      request,
      generation: new Generation(
        request.attemptId,
        this.options.bufferedTokensPerStream,
      ),
      enqueuedAt: now,
      deadline: now + request.deadlineMilliseconds,
      cancel: new AbortController(),
      epoch: '',
    };
    const known = this.attempts.get(request.attemptId);
    if (known !== undefined) {
      return known.generation;
    }
    this.attempts.set(request.attemptId, attempt);
    const refusal = this.findFailure(attempt, now);
    if (refusal !== undefined) {
      this.fail(attempt, refusal);
    } else {
      this.enqueue(attempt, now);
    }
    this.pump();
    return attempt.generation;
  }

  /**
   * Finds a generation to continue, from memory or from the engine.
   *
   * @param attemptId - Identifier of the attempt
   * @param fromIndex - Index of the first token wanted
   * @returns The generation, which has failed when it is lost
   */
  resume(attemptId: string, fromIndex: number): Generation {
    const known = this.attempts.get(attemptId);
    if (known !== undefined) {
      return known.generation;
    }
    const {bufferedTokensPerStream} = this.options;
    const generation = new Generation(attemptId, bufferedTokensPerStream);
    runTask('resume_from_engine', this.context.logger, () =>
      this.copyFromEngine(generation, fromIndex),
    );
    return generation;
  }

  /**
   * Withdraws an attempt.
   *
   * @param attemptId - Identifier of the attempt
   * @returns `NOT_RUN` only when it was never sent to the engine and never
   *     will be
   */
  revoke(attemptId: string): Outcome {
    const attempt = this.attempts.get(attemptId);
    if (attempt === undefined) {
      this.revoked.add(attemptId);
      return Outcome.NOT_RUN;
    }
    if (this.scheduler.withdraw(attemptId)) {
      this.fail(attempt, FailureKind.REVOKED);
      return Outcome.NOT_RUN;
    }
    const {end} = attempt.generation;
    if (end === undefined) {
      attempt.cancel.abort();
      return Outcome.UNKNOWN;
    }
    return end.kind === 'finished' ? Outcome.DONE : end.failure.outcome;
  }

  /**
   * Notes that a generation's reader has gone.
   *
   * @param generation - The generation
   * @param reader - The reader
   */
  noteReaderGone(generation: Generation, reader: number): void {
    const attempt = this.attempts.get(generation.attemptId);
    const isUnread = generation.detach(reader, this.context.clock.now());
    if (attempt === undefined || !isUnread) {
      return;
    }
    if (this.scheduler.withdraw(generation.attemptId)) {
      this.fail(attempt, FailureKind.REVOKED);
    } else if (attempt.request.deliverWhole) {
      attempt.cancel.abort();
    }
  }

  /** What this sidecar tells gateways of its load. */
  report(): LoadReport {
    const {scheduler, load} = this;
    return {
      service: this.options.service,
      models: load?.models ?? [],
      memoryCapacityTokens: load?.memoryCapacityTokens ?? 0,
      memoryUsedTokens: scheduler.usedTokens,
      running: scheduler.runningCount,
      waiting: scheduler.waitingCount,
      urgentWaitMilliseconds: Math.round(
        scheduler.predictWait('urgent', '', 1),
      ),
      standardWaitMilliseconds: Math.round(
        scheduler.predictWait('standard', '', 1),
      ),
      deferrableWaitMilliseconds: Math.round(
        scheduler.predictWait('deferrable', '', 1),
      ),
      waitPerRequestMilliseconds: Math.round(scheduler.predictWaitPerRequest()),
      leaving: this.leaving,
      endpointAlive: load !== undefined,
    };
  }

  private policyFor(subject: PolicySubject) {
    return resolvePolicy(this.context.replica.table, subject);
  }

  private findFailure(attempt: Attempt, now: number): FailureKind | undefined {
    const {request} = attempt;
    if (this.leaving) {
      return FailureKind.LEAVING;
    }
    if (this.revoked.delete(request.attemptId)) {
      return FailureKind.REVOKED;
    }
    if (this.load === undefined) {
      return FailureKind.MODEL_NOT_LOADED;
    }
    const {models} = this.load;
    if (models !== undefined && !models.includes(request.model)) {
      return FailureKind.MODEL_NOT_LOADED;
    }
    return attempt.deadline <= now ? FailureKind.DEADLINE_PASSED : undefined;
  }

  private enqueue(attempt: Attempt, now: number): void {
    const {request} = attempt;
    const requestClass = toClassName(request.requestClass);
    const {organisation} = request;
    const service = this.options.service;
    const policy = this.policyFor({organisation, service, requestClass});
    const generation: GenerationRequest = {
      id: request.attemptId,
      organisation,
      requestClass,
      model: request.model,
      promptTokens: Math.ceil(request.prompt.length / CHARACTERS_PER_TOKEN),
      maximumTokens: request.maxTokens === 0 ? undefined : request.maxTokens,
      deadline: attempt.deadline,
      weight: policy.weight,
      suspectedDeaths: Math.max(
        request.suspectedDeaths,
        this.context.suspicions.countCrashes(request.fingerprint, now),
      ),
    };
    const refusal = this.scheduler.submit(
      generation,
      policy,
      now,
      request.deliverWhole,
    );
    if (refusal !== undefined) {
      this.refuse(refusal);
    }
  }

  private pump(): void {
    const now = this.context.clock.now();
    for (const refusal of this.scheduler.expire(now)) {
      this.refuse(refusal);
    }
    if (this.load === undefined) {
      return;
    }
    for (;;) {
      const order = this.scheduler.startNext(now);
      if (order === undefined) {
        return;
      }
      this.startAttempt(order, now);
    }
  }

  private startAttempt(order: StartOrder, now: number): void {
    const attempt = this.attempts.get(order.request.id);
    if (attempt === undefined) {
      this.scheduler.recordEnd(order.request.id, false, now);
      return;
    }
    attempt.epoch = epochOf(this.load);
    this.record(attempt, 'queue_wait_milliseconds', now - attempt.enqueuedAt);
    const {request} = attempt;
    const stream = this.engine.start(
      {
        requestId: request.attemptId,
        model: request.model,
        prompt: request.prompt,
        maximumTokens: request.maxTokens === 0 ? undefined : request.maxTokens,
        priority: order.priority,
      },
      attempt.cancel.signal,
    );
    runTask('generation', this.context.logger, () =>
      this.runAttempt(attempt, stream),
    );
  }

  private async runAttempt(
    attempt: Attempt,
    first: EngineStream,
  ): Promise<void> {
    let end = await this.copyTokens(attempt, first);
    while (end.kind === 'broken' && !attempt.cancel.signal.aborted) {
      if (!(await this.engineGoesOn(attempt.epoch))) {
        this.noteDeath(attempt.epoch);
        break;
      }
      const {attemptId, tokenCount} = attempt.generation;
      const {signal} = attempt.cancel;
      const stream = this.engine.resume(attemptId, tokenCount, signal);
      end = await this.copyTokens(attempt, stream);
      if (end.kind === 'refused' || end.kind === 'not_sent') {
        end = {kind: 'broken', message: 'the engine has lost the generation'};
        break;
      }
    }
    this.endAttempt(attempt, end);
  }

  private async copyTokens(
    attempt: Attempt,
    stream: EngineStream,
  ): Promise<EngineStreamEnd> {
    const {generation} = attempt;
    const {clock} = this.context;
    let previous: number | undefined;
    for (;;) {
      const events = await stream.chunks.receive();
      const first = events?.[0];
      if (events === undefined || first === undefined) {
        return stream.end;
      }
      const now = clock.now();
      const before = generation.tokenCount;
      if (first.index > before) {
        return {kind: 'broken', message: 'the engine left out tokens'};
      }
      if (previous !== undefined) {
        const gap = (now - previous) / events.length;
        this.record(attempt, 'between_tokens_milliseconds', gap);
      }
      previous = now;
      const texts = events.map(event => event.text);
      const appended = generation.append(first.index, texts);
      const count = generation.tokenCount - before;
      this.scheduler.recordTokens(generation.attemptId, count, now);
      await appended;
    }
  }

  private endAttempt(attempt: Attempt, end: EngineStreamEnd): void {
    const {generation, request, cancel} = attempt;
    const now = this.context.clock.now();
    const isComplete = end.kind === 'finished';
    this.scheduler.recordEnd(request.attemptId, isComplete, now);
    if (cancel.signal.aborted) {
      void this.engine.cancel(request.attemptId);
      this.fail(attempt, FailureKind.GENERATION_LOST);
    } else if (end.kind === 'finished') {
      attempt.finishedAt = now;
      const {finishReason} = end;
      const tokenCount = generation.tokenCount;
      generation.finish({
        kind: 'finished',
        finished: {finishReason, tokenCount},
      });
    } else if (end.kind === 'broken') {
      this.fail(attempt, FailureKind.ENDPOINT_DIED, {
        deathId: this.lives.deathIdOf(attempt.epoch),
      });
    } else {
      this.fail(attempt, FailureKind.OVERLOADED, {
        message: 'the engine did not take the request',
        retryAfterMilliseconds: 1_000,
      });
    }
    this.pump();
  }

  private async copyFromEngine(
    generation: Generation,
    fromIndex: number,
  ): Promise<void> {
    const {attemptId} = generation;
    const stream = this.engine.resume(
      attemptId,
      fromIndex,
      this.context.signal,
    );
    // Tokens before the index are not wanted; the window starts there.
    generation.startAt(fromIndex);
    for (;;) {
      const events = await stream.chunks.receive();
      const first = events?.[0];
      if (events === undefined || first === undefined) {
        break;
      }
      const texts = events.map(event => event.text);
      await generation.append(first.index, texts);
    }
    const end = await stream.end;
    const tokenCount = generation.tokenCount;
    if (end.kind === 'finished') {
      const {finishReason} = end;
      generation.finish({
        kind: 'finished',
        finished: {finishReason, tokenCount},
      });
    } else {
      const failure = createFailure(FailureKind.GENERATION_LOST);
      generation.finish({kind: 'failed', failure});
    }
  }

  private refuse(refusal: Refusal): void {
    const attempt = this.attempts.get(refusal.id);
    if (attempt !== undefined) {
      const {retryAfterMilliseconds} = refusal;
      const kind = FAILURE_OF_REFUSAL[refusal.reason];
      this.fail(attempt, kind, {retryAfterMilliseconds});
    }
  }

  private fail(
    attempt: Attempt,
    kind: FailureKind,
    details: FailureDetails = {},
  ): void {
    attempt.finishedAt = this.context.clock.now();
    const failure = createFailure(kind, details);
    attempt.generation.finish({kind: 'failed', failure});
  }

  /**
   * Tells whether the engine that a stream broke off from still runs.
   *
   * A missing answer is not a death: an engine or an instance that is short of
   * processor time answers late, and all its broken streams ask at once.
   */
  private async engineGoesOn(epoch: string): Promise<boolean> {
    const {clock, signal} = this.context;
    const limit = clock.now() + SILENT_ENGINE_MILLISECONDS;
    while (!this.lives.hasEnded(epoch) && !signal.aborted) {
      const load = await this.engine.readLoad();
      if (load.isOk) {
        return epochOf(load.value) === epoch;
      }
      if (load.error.kind === 'not_sent' || clock.now() >= limit) {
        return false;
      }
      await clock.sleep(PROBE_PAUSE_MILLISECONDS, signal);
    }
    return false;
  }

  private takeLoad(load: EngineLoad | undefined, requestedAt: number): void {
    if (this.lives.mayPredateDeath(requestedAt)) {
      // The report may have been on its way when the engine died.
      return;
    }
    const known = this.load;
    const isOtherLife =
      known !== undefined &&
      load !== undefined &&
      epochOf(load) !== epochOf(known);
    if (isOtherLife) {
      this.noteDeath(epochOf(known));
    }
    if (load !== undefined) {
      // An engine that was out of reach and is back has not died.
      this.lives.noteAlive(epochOf(load));
    }
    this.load = load;
    if (load === undefined) {
      return;
    }
    this.scheduler.setCapacity(load.memoryCapacityTokens - this.foreign(load));
    this.scheduler.setPolicy(this.policyFor({service: this.options.service}));
    const isSameEngine = known?.epoch === load.epoch;
    const before = isSameEngine ? (known?.preemptions ?? 0) : 0;
    this.scheduler.recordEngineReport({
      preemptions: (load.preemptions ?? 0) - before,
      waiting: load.waiting,
    });
  }

  /**
   * Estimates what the engine holds for others, such as an earlier sidecar.
   *
   * Reports lag, so a single difference may be work that has just ended; the
   * smallest of several is not.
   */
  private foreign(load: EngineLoad): number {
    const difference = load.memoryUsedTokens - this.scheduler.usedTokens;
    this.foreignTokens.push(Math.max(0, difference));
    this.foreignTokens = this.foreignTokens.slice(-FOREIGN_REPORTS);
    return this.foreignTokens.length < FOREIGN_REPORTS
      ? 0
      : Math.min(...this.foreignTokens);
  }

  /** Suspects everything that ran in a life of the engine that has ended. */
  private noteDeath(epoch: string): void {
    const at = this.context.clock.now();
    const deathId = this.lives.noteDeath(epoch, at);
    if (deathId === undefined) {
      return;
    }
    if (epochOf(this.load) === epoch) {
      this.load = undefined;
    }
    const fingerprints = this.scheduler.listRunning().flatMap(id => {
      const attempt = this.attempts.get(id);
      return attempt?.epoch === epoch ? [attempt.request.fingerprint] : [];
    });
    const record: SuspicionRecord = {deathId, at, fingerprints};
    this.context.logger.warn('endpoint_died', {
      death: deathId,
      running: fingerprints.length,
    });
    this.context.suspicions.apply(record);
    void this.context.log.append(SUSPICIONS_STREAM, record);
  }

  private sweep(): void {
    const {clock} = this.context;
    const oldest = clock.now() - this.options.resumeGraceMilliseconds;
    for (const [id, attempt] of this.attempts) {
      const {generation} = attempt;
      const unreadSince = generation.unreadSince ?? Number.POSITIVE_INFINITY;
      if (generation.end === undefined && unreadSince < oldest) {
        attempt.cancel.abort();
        generation.finish({
          kind: 'failed',
          failure: createFailure(FailureKind.GENERATION_LOST),
        });
      }
      if (attempt.finishedAt !== undefined && attempt.finishedAt < oldest) {
        const isBeingRead = generation.unreadSince === undefined;
        if (!isBeingRead || generation.unreadCount === 0) {
          this.attempts.delete(id);
        }
      }
    }
  }

  private record(
    attempt: Attempt,
    measure: 'queue_wait_milliseconds' | 'between_tokens_milliseconds',
    milliseconds: number,
  ): void {
    const {organisation, requestClass} = attempt.request;
    const name = toClassName(requestClass);
    this.context.histograms.record(measure, organisation, name, milliseconds);
  }
}
