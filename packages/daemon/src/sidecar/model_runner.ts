/**
 * Runs generations on the engine of this sidecar.
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
import {EngineLifetimes, getEpoch} from './engine_lifetimes.js';
import {Generation} from './generation.js';

const CHARACTERS_PER_TOKEN = 4;
const DISPATCH_INTERVAL_MILLISECONDS = 100;
const EXTERNAL_USAGE_SAMPLES = 5;

/**
 * Time without a response to load reads after which an engine is assumed to
 * have crashed; several times the timeout of one read.
 */
const ENGINE_TIMEOUT_MILLISECONDS = 10_000;

/** Delay between load reads while an engine does not respond. */
const PROBE_INTERVAL_MILLISECONDS = 100;

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
  /** Milliseconds since the epoch, by the clock of this instance. */
  readonly deadline: number;
  readonly abortController: AbortController;
  /** Epoch of the engine on which it was started; empty before the start. */
  epoch: string;
  finishedAt?: number;
}

const FAILURE_KIND_BY_REFUSAL: Readonly<Record<RefusalReason, FailureKind>> = {
  overloaded: FailureKind.OVERLOADED,
  too_many_waiting: FailureKind.OVER_ALLOWANCE,
  deadline_passed: FailureKind.DEADLINE_PASSED,
  too_large: FailureKind.TOO_LARGE,
  quarantined: FailureKind.QUARANTINED,
};

/**
 * Runs all generations of one engine.
 *
 * The scheduler makes every scheduling decision; this class executes them and
 * buffers the tokens of each generation until its reader has read them.
 */
export class ModelRunner {
  private readonly scheduler: EngineScheduler;
  private readonly attempts = new Map<string, Attempt>();
  private readonly revokedAttemptIds = new Set<string>();
  private load: EngineLoad | undefined;
  private readonly lifetimes: EngineLifetimes;
  /**
   * Tokens in the engine's memory that belong to no generation of this sidecar,
   * one sample per recent load report.
   */
  private externalTokenSamples: number[] = [];
  private isDraining = false;
  private readonly startedAt: number;

  constructor(
    private readonly context: ProcessContext,
    private readonly engine: EngineClient,
    private readonly options: ModelRunnerOptions,
  ) {
    this.startedAt = context.clock.now();
    this.lifetimes = new EngineLifetimes(context.instance);
    this.scheduler = new EngineScheduler({
      capacityTokens: 0,
      policy: this.policyFor({}),
      maximumWaiting: options.maximumWaiting,
    });
  }

  /** Number of generations that have not ended or have unread tokens. */
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

  /** Last load report of the engine; undefined while it is unreachable. */
  get engineLoad(): EngineLoad | undefined {
    return this.load;
  }

  /** Polls the engine's load and dispatches queued requests. */
  async run(): Promise<void> {
    const {clock, signal} = this.context;
    let lastLoad = Number.NEGATIVE_INFINITY;
    while (!signal.aborted) {
      if (clock.now() - lastLoad >= this.options.loadReportMilliseconds) {
        lastLoad = clock.now();
        const load = await this.engine.readLoad();
        this.applyEngineLoad(load.unwrapOr(undefined), lastLoad);
      }
      this.expireAttempts();
      this.dispatch();
      // Submissions and completions dispatch directly; only expiry and other
      // time-based decisions need polling.
      const pause =
        this.scheduler.waitingCount > 0
          ? DISPATCH_INTERVAL_MILLISECONDS
          : this.options.loadReportMilliseconds;
      await clock.sleep(pause, signal);
    }
  }

  /** Rejects new and queued requests; running generations continue. */
  startDraining(): void {
    this.isDraining = true;
    for (const [id, attempt] of this.attempts) {
      if (this.scheduler.withdraw(id)) {
        this.fail(attempt, FailureKind.LEAVING);
      }
    }
  }

  /**
   * Submits an attempt; idempotent by its identifier.
   *
   * @param request - The attempt
   * @returns Its generation, which may already have failed
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
      abortController: new AbortController(),
      epoch: '',
    };
    const existing = this.attempts.get(request.attemptId);
    if (existing !== undefined) {
      return existing.generation;
    }
    this.attempts.set(request.attemptId, attempt);
    const rejection = this.findRejection(attempt, now);
    if (rejection !== undefined) {
      this.fail(attempt, rejection);
    } else {
      this.enqueue(attempt, now);
    }
    this.dispatch();
    return attempt.generation;
  }

  /**
   * Finds a generation to continue, in memory or on the engine.
   *
   * @param attemptId - Identifier of the attempt
   * @param fromIndex - Index of the first requested token
   * @returns The generation; it ends as failed when its tokens are lost
   */
  resume(attemptId: string, fromIndex: number): Generation {
    const existing = this.attempts.get(attemptId);
    if (existing !== undefined) {
      return existing.generation;
    }
    const {bufferedTokensPerStream} = this.options;
    const generation = new Generation(attemptId, bufferedTokensPerStream);
    runTask('resume_from_engine', this.context.logger, () =>
      this.copyFromEngine(generation, fromIndex),
    );
    return generation;
  }

  /**
   * Revokes an attempt.
   *
   * @param attemptId - Identifier of the attempt
   * @param ageMilliseconds - Upper bound of the time since it was submitted
   * @returns `NOT_RUN` when this process has not sent the attempt to the engine;
   *     it does not send it later. `UNKNOWN` when an earlier process may have
   *     sent it, or this one may have forgotten it
   */
  revoke(attemptId: string, ageMilliseconds: number): Outcome {
    const attempt = this.attempts.get(attemptId);
    if (attempt === undefined) {
      this.revokedAttemptIds.add(attemptId);
      return this.remembersSince(ageMilliseconds)
        ? Outcome.NOT_RUN
        : Outcome.UNKNOWN;
    }
    if (this.scheduler.withdraw(attemptId)) {
      this.fail(attempt, FailureKind.REVOKED);
      return Outcome.NOT_RUN;
    }
    const {end} = attempt.generation;
    if (end === undefined) {
      attempt.abortController.abort();
      return Outcome.UNKNOWN;
    }
    return end.kind === 'finished' ? Outcome.DONE : end.failure.outcome;
  }

  /** Returns whether this process knows every attempt up to an age. */
  private remembersSince(ageMilliseconds: number): boolean {
    const {clock} = this.context;
    const uptimeMilliseconds = clock.now() - this.startedAt;
    return (
      ageMilliseconds <
      Math.min(uptimeMilliseconds, this.options.resumeGraceMilliseconds)
    );
  }

  /**
   * Detaches a reader from its generation.
   *
   * When no reader remains, an attempt that is still queued is revoked, and one
   * whose response is delivered whole is cancelled.
   *
   * @param generation - The generation
   * @param reader - Identifier of the reader
   */
  detachReader(generation: Generation, reader: number): void {
    const attempt = this.attempts.get(generation.attemptId);
    const isUnread = generation.detach(reader, this.context.clock.now());
    if (attempt === undefined || !isUnread) {
      return;
    }
    if (this.scheduler.withdraw(generation.attemptId)) {
      this.fail(attempt, FailureKind.REVOKED);
    } else if (attempt.request.deliverWhole) {
      attempt.abortController.abort();
    }
  }

  /** Creates the load report that is sent to gateways. */
  createLoadReport(): LoadReport {
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
      leaving: this.isDraining,
      endpointAlive: load !== undefined,
    };
  }

  private policyFor(subject: PolicySubject) {
    return resolvePolicy(this.context.replica.table, subject);
  }

  private findRejection(
    attempt: Attempt,
    now: number,
  ): FailureKind | undefined {
    const {request} = attempt;
    if (this.isDraining) {
      return FailureKind.LEAVING;
    }
    if (this.revokedAttemptIds.delete(request.attemptId)) {
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

  private dispatch(): void {
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
    attempt.epoch = getEpoch(this.load);
    this.recordLatency(
      attempt,
      'queue_wait_milliseconds',
      now - attempt.enqueuedAt,
    );
    const {request} = attempt;
    const stream = this.engine.start(
      {
        requestId: request.attemptId,
        model: request.model,
        prompt: request.prompt,
        maximumTokens: request.maxTokens === 0 ? undefined : request.maxTokens,
        priority: order.priority,
      },
      attempt.abortController.signal,
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
    while (end.kind === 'broken' && !attempt.abortController.signal.aborted) {
      if (!(await this.isEngineRunning(attempt.epoch))) {
        this.handleEngineCrash(attempt.epoch);
        break;
      }
      const {attemptId, tokenCount} = attempt.generation;
      const {signal} = attempt.abortController;
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
        this.recordLatency(attempt, 'between_tokens_milliseconds', gap);
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
    const {generation, request, abortController} = attempt;
    const now = this.context.clock.now();
    const isComplete = end.kind === 'finished';
    this.scheduler.recordEnd(request.attemptId, isComplete, now);
    if (abortController.signal.aborted) {
      void this.engine.cancel(request.attemptId);
      this.fail(attempt, FailureKind.GENERATION_LOST);
    } else if (end.kind === 'finished') {
      attempt.finishedAt = now;
      const {finishReason} = end;
      const tokenCount = generation.tokenCount;
      generation.settle({
        kind: 'finished',
        finished: {finishReason, tokenCount},
      });
    } else if (end.kind === 'broken') {
      this.fail(attempt, FailureKind.ENDPOINT_DIED, {
        deathId: this.lifetimes.getDeathId(attempt.epoch),
      });
    } else {
      this.fail(attempt, FailureKind.OVERLOADED, {
        message: 'the engine did not take the request',
      });
    }
    this.dispatch();
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
    // Tokens before the index are not requested; the window starts there.
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
      generation.settle({
        kind: 'finished',
        finished: {finishReason, tokenCount},
      });
    } else {
      const failure = createFailure(FailureKind.GENERATION_LOST);
      generation.settle({kind: 'failed', failure});
    }
  }

  private refuse(refusal: Refusal): void {
    const attempt = this.attempts.get(refusal.id);
    if (attempt !== undefined) {
      const {retryAfterMilliseconds} = refusal;
      const kind = FAILURE_KIND_BY_REFUSAL[refusal.reason];
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
    attempt.generation.settle({kind: 'failed', failure});
  }

  /**
   * Returns whether the engine of a broken stream still runs.
   *
   * A single missing response does not indicate a crash: an engine or an
   * instance that is short of processor time responds late, and all its broken
   * streams read the load at the same time.
   */
  private async isEngineRunning(epoch: string): Promise<boolean> {
    const {clock, signal} = this.context;
    const limit = clock.now() + ENGINE_TIMEOUT_MILLISECONDS;
    while (!this.lifetimes.hasEnded(epoch) && !signal.aborted) {
      const load = await this.engine.readLoad();
      if (load.isOk) {
        return getEpoch(load.value) === epoch;
      }
      if (load.error.kind === 'not_sent' || clock.now() >= limit) {
        return false;
      }
      await clock.sleep(PROBE_INTERVAL_MILLISECONDS, signal);
    }
    return false;
  }

  private applyEngineLoad(
    load: EngineLoad | undefined,
    requestedAt: number,
  ): void {
    if (this.lifetimes.mayPredateCrash(requestedAt)) {
      // The engine may have sent the report before it crashed.
      return;
    }
    const previous = this.load;
    const hasRestarted =
      previous !== undefined &&
      load !== undefined &&
      getEpoch(load) !== getEpoch(previous);
    if (hasRestarted) {
      this.handleEngineCrash(getEpoch(previous));
    }
    if (load !== undefined) {
      // An engine that responds again under its epoch was only unreachable.
      this.lifetimes.clearCrash(getEpoch(load));
    }
    this.load = load;
    if (load === undefined) {
      return;
    }
    this.scheduler.setCapacity(
      load.memoryCapacityTokens - this.estimateExternalTokens(load),
    );
    this.scheduler.setPolicy(this.policyFor({service: this.options.service}));
    const isSameEpoch = previous?.epoch === load.epoch;
    const before = isSameEpoch ? (previous?.preemptions ?? 0) : 0;
    this.scheduler.recordEngineReport({
      preemptions: (load.preemptions ?? 0) - before,
      waiting: load.waiting,
    });
  }

  /**
   * Estimates the tokens that the engine holds for other clients, such as an
   * earlier sidecar process.
   *
   * Load reports lag, so a single difference may include generations that have
   * just ended; the minimum of several samples does not.
   */
  private estimateExternalTokens(load: EngineLoad): number {
    const difference = load.memoryUsedTokens - this.scheduler.usedTokens;
    this.externalTokenSamples.push(Math.max(0, difference));
    this.externalTokenSamples = this.externalTokenSamples.slice(
      -EXTERNAL_USAGE_SAMPLES,
    );
    return this.externalTokenSamples.length < EXTERNAL_USAGE_SAMPLES
      ? 0
      : Math.min(...this.externalTokenSamples);
  }

  /**
   * Records the crash that ended a lifetime, and a suspicion against each
   * request that ran in it.
   */
  private handleEngineCrash(epoch: string): void {
    const at = this.context.clock.now();
    const deathId = this.lifetimes.recordCrash(epoch, at);
    if (deathId === undefined) {
      return;
    }
    if (getEpoch(this.load) === epoch) {
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

  private expireAttempts(): void {
    const {clock} = this.context;
    const oldest = clock.now() - this.options.resumeGraceMilliseconds;
    for (const [id, attempt] of this.attempts) {
      const {generation} = attempt;
      const detachedAt = generation.detachedAt ?? Number.POSITIVE_INFINITY;
      if (generation.end === undefined && detachedAt < oldest) {
        attempt.abortController.abort();
        generation.settle({
          kind: 'failed',
          failure: createFailure(FailureKind.GENERATION_LOST),
        });
      }
      if (attempt.finishedAt !== undefined && attempt.finishedAt < oldest) {
        const isBeingRead = generation.detachedAt === undefined;
        if (!isBeingRead || generation.unreadCount === 0) {
          this.attempts.delete(id);
        }
      }
    }
  }

  private recordLatency(
    attempt: Attempt,
    measure: 'queue_wait_milliseconds' | 'between_tokens_milliseconds',
    milliseconds: number,
  ): void {
    const {organisation, requestClass} = attempt.request;
    const name = toClassName(requestClass);
    this.context.histograms.record(measure, organisation, name, milliseconds);
  }
}
