/**
 * Execution of a caller's generation over one or more attempts.
 */
import {randomUUID} from 'node:crypto';

import {
  FailureKind,
  Outcome,
  type Failure,
  type Finished,
  type GenerateEvent,
  type GenerateRequest,
  type RevokeReply,
} from '@briarpin/messages';
import {
  chooseEndpoint,
  decideQuarantine,
  decideRetry,
  type ByteBudget,
  type RequestClassName,
  type RetryBudget,
} from '@briarpin/scheduling';
import {Metadata, type ClientReadableStream} from '@grpc/grpc-js';

import {Channel} from '../concurrency/channel.js';
import {createFailure} from '../shared/failures.js';
import type {ProcessContext} from '../shared/process_context.js';
import {toMessageClass} from '../shared/request_class.js';
import type {Endpoint, EndpointDirectory} from './endpoint_directory.js';
import type {PrefixHints} from './prefix_hints.js';

const EVENT_BUFFER_CAPACITY = 4;
const WATCHDOG_INTERVAL_MILLISECONDS = 500;
const STALL_TIMEOUT_MILLISECONDS = 5_000;
const MISSING_REPORT_TIMEOUT_MILLISECONDS = 3_000;
const RESUME_TIMEOUT_MILLISECONDS = 10_000;
const RESUME_DELAY_MILLISECONDS = 250;
const CANDIDATE_WAIT_MILLISECONDS = 1_000;
const CANDIDATE_POLL_MILLISECONDS = 20;
const REVOKE_TIMEOUT_MILLISECONDS = 500;
const MILLISECONDS_PER_PROMPT_TOKEN = 0.05;
const BYTES_PER_TOKEN = 8;
const CHARACTERS_PER_TOKEN = 4;
const GENERATION_SEPARATOR = '~';

/** Generation that a caller requests. */
export interface SessionRequest {
  readonly organisation: string;
  readonly requestClass: RequestClassName;
  readonly service: string;
  readonly model: string;
  readonly prompt: string;
  readonly maximumTokens: number;
  /** Milliseconds since the epoch. */
  readonly deadline: number;
  /** True when no token is delivered before the generation is complete. */
  readonly isBuffered: boolean;
  /** Identifies equal requests, so that crashes are counted for them. */
  readonly fingerprint: string;
}

/** Event that a session sends to the request handler. */
export type SessionEvent =
  | {
      readonly kind: 'tokens';
      /** Identifies the generation, so that another gateway can resume it. */
      readonly generationId: string;
      readonly firstIndex: number;
      readonly texts: readonly string[];
    }
  | {readonly kind: 'finished'; readonly finished: Finished}
  | {readonly kind: 'failed'; readonly failure: Failure};

/** Budgets that all sessions of a gateway share. */
export interface SessionLimits {
  readonly retryBudget: RetryBudget;
  readonly crossRegionBudget: ByteBudget;
}

type GenerationCall = ClientReadableStream<GenerateEvent>;

type AttemptResult =
  | {readonly kind: 'finished'; readonly finished: Finished}
  | {readonly kind: 'failed'; readonly failure: Failure}
  /** The connection to the sidecar broke or made no progress. */
  | {readonly kind: 'broken'};

/**
 * Runs attempts until one finishes or no further attempt is allowed.
 *
 * Every token is delivered once, in order and from one generation: an event
 * with another attempt's identifier or with an index that was already received
 * is dropped. After the first token has been delivered the generation is
 * resumed or fails, but is never restarted.
 */
export class GenerationSession {
  readonly events = new Channel<SessionEvent>(EVENT_BUFFER_CAPACITY);
  private readonly triedInstances = new Set<string>();
  /** Tried instances that had not loaded the model and may be retried. */
  private readonly notReadyInstances = new Set<string>();
  private readonly abortController = new AbortController();
  private attemptId = '';
  /** When the current attempt was sent, by the clock of this instance. */
  private attemptSentAt = 0;
  private nextIndex = 0;
  private bufferedTexts: string[] = [];
  private isCertainlyNotRun = true;
  private call: GenerationCall | undefined;
  private endpoint: Endpoint | undefined;
  private lastProgressTime = 0;
  private hasDeadlinePassed = false;
  private isStopping = false;
  private droppedEvents = 0;
  private attempts = 0;

  /**
   * @param context - Shared objects of the process
   * @param endpointDirectory - Endpoints to choose from
   * @param limits - Budgets for retries and cross-region traffic
   * @param prefixHints - Instances that have probably cached a prompt's prefix
   * @param request - Generation to run
   */
  constructor(
    private readonly context: ProcessContext,
    private readonly endpointDirectory: EndpointDirectory,
    private readonly limits: SessionLimits,
    private readonly prefixHints: PrefixHints,
    private readonly request: SessionRequest,
  ) {}

  /** Number of attempts started. */
  get attemptCount(): number {
    return this.attempts;
  }

  /** Number of events dropped as duplicates or as from another attempt. */
  get droppedEventCount(): number {
    return this.droppedEvents;
  }

  /** Runs the generation; the last event is `finished` or `failed`. */
  async run(): Promise<void> {
    this.limits.retryBudget.recordFirstAttempt();
    await this.deliverResult(() => this.runAttempts());
  }

  /**
   * Resumes a generation that another gateway started.
   *
   * @param generationId - Identifier from a `tokens` event, which contains the
   *     instance and the attempt
   * @param fromIndex - Index of the first token to deliver
   */
  async resume(generationId: string, fromIndex: number): Promise<void> {
    const separator = generationId.indexOf(GENERATION_SEPARATOR);
    const instance = generationId.slice(0, Math.max(0, separator));
    this.attemptId = generationId.slice(separator + 1);
    this.nextIndex = fromIndex;
    this.isCertainlyNotRun = false;
    this.lastProgressTime = this.context.clock.now();
    await this.deliverResult(async () => {
      const result = await this.resumeAttempt(instance);
      return result.kind === 'broken' ? createLostResult() : result;
    });
  }

  /**
   * Ends the session because its caller has disconnected.
   *
   * A buffered attempt is revoked; a streamed one may still be resumed.
   */
  cancel(): void {
    this.abortController.abort();
    this.events.close();
    if (this.request.isBuffered) {
      void this.revoke();
    }
    this.call?.cancel();
  }

  /**
   * Ends the session because the process ends; its last event is `failed`.
   */
  stop(): void {
    this.isStopping = true;
    this.abortController.abort();
    this.call?.cancel();
  }

  /** Sends the result of a run; sends a failure when the run throws. */
  private async deliverResult(run: () => Promise<SessionEvent>): Promise<void> {
    void this.runWatchdog();
    let result: SessionEvent = createLostResult();
    try {
      result = await run();
    } finally {
      this.abortController.abort();
      await this.events.send(result);
      this.events.close();
    }
  }

  private async runAttempts(): Promise<SessionEvent> {
    let lastFailure: Failure | undefined;
    for (;;) {
      const crashCount = this.countCrashes();
      if (decideQuarantine(crashCount) === 'refuse') {
        return this.createFailedEvent(createFailure(FailureKind.QUARANTINED));
      }
      const endpoint = this.selectEndpoint();
      if (endpoint === undefined) {
        return this.createFailedEvent(
          lastFailure ?? createFailure(FailureKind.NO_ENDPOINT),
        );
      }
      const result = await this.runAttempt(endpoint, crashCount);
      if (result.kind === 'finished') {
        return result;
      }
      lastFailure = this.recordFailure(result);
      if (lastFailure.kind !== FailureKind.OVERLOADED) {
        await this.waitForCandidate();
      }
      if (!this.tryAcquireRetry(lastFailure)) {
        return this.createFailedEvent(lastFailure);
      }
    }
  }

  private recordFailure(
    result: Exclude<AttemptResult, {kind: 'finished'}>,
  ): Failure {
    const failure =
      result.kind === 'failed'
        ? result.failure
        : createFailure(FailureKind.ENDPOINT_DIED, {
            message: 'the connection to the endpoint broke',
          });
    if (failure.outcome !== Outcome.NOT_RUN) {
      this.isCertainlyNotRun = false;
    }
    if (failure.kind === FailureKind.MODEL_NOT_LOADED) {
      this.notReadyInstances.add(this.endpoint?.member.instance ?? '');
    }
    if (failure.deathId !== '') {
      this.context.suspicions.apply({
        deathId: failure.deathId,
        at: this.context.clock.now(),
        fingerprints: [this.request.fingerprint],
      });
    }
    return failure;
  }

  /**
   * Waits for an untried endpoint, up to `CANDIDATE_WAIT_MILLISECONDS`.
   *
   * After a crash the other endpoints are often still recovering, and the
   * request can still succeed as long as no token has been delivered.
   */
  private async waitForCandidate(): Promise<void> {
    const {clock} = this.context;
    const {deadline} = this.request;
    const timeoutAt = Math.min(
      deadline,
      clock.now() + CANDIDATE_WAIT_MILLISECONDS,
    );
    const isDelivered = !this.request.isBuffered && this.nextIndex > 0;
    while (
      !isDelivered &&
      !this.abortController.signal.aborted &&
      clock.now() < timeoutAt &&
      this.listCandidates().length === 0
    ) {
      await clock.sleep(
        CANDIDATE_POLL_MILLISECONDS,
        this.abortController.signal,
      );
      this.notReadyInstances.forEach(instance =>
        this.triedInstances.delete(instance),
      );
      this.notReadyInstances.clear();
    }
  }

  private tryAcquireRetry(failure: Failure): boolean {
    if (this.abortController.signal.aborted || this.hasDeadlinePassed) {
      return false;
    }
    const isFinal =
      failure.kind === FailureKind.QUARANTINED ||
      failure.kind === FailureKind.OVER_ALLOWANCE ||
      failure.kind === FailureKind.TOO_LARGE ||
      failure.kind === FailureKind.DEADLINE_PASSED;
    const isAllowed = decideRetry({
      notRun: failure.outcome === Outcome.NOT_RUN,
      idempotent: true,
      delivered: !this.request.isBuffered && this.nextIndex > 0,
      remainingMilliseconds: this.request.deadline - this.context.clock.now(),
      untriedEndpoints: this.listCandidates().length,
    });
    return !isFinal && isAllowed && this.limits.retryBudget.tryAcquire();
  }

  private createFailedEvent(failure: Failure): SessionEvent {
    const outcome = this.isCertainlyNotRun ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    return {kind: 'failed', failure: {...failure, outcome}};
  }

  private async runAttempt(
    endpoint: Endpoint,
    crashCount: number,
  ): Promise<AttemptResult> {
    this.attempts += 1;
    this.attemptId = randomUUID();
    this.attemptSentAt = this.context.clock.now();
    this.endpoint = endpoint;
    this.nextIndex = 0;
    this.bufferedTexts = [];
    this.lastProgressTime = this.context.clock.now();
    this.triedInstances.add(endpoint.member.instance);
    this.prefixHints.record(this.request, endpoint.member.instance);
    endpoint.sentSinceReport += 1;
    endpoint.openRequests += 1;
    const call = endpoint.client.generate(
      this.createGenerateRequest(crashCount),
    );
    let result = await this.readEvents(call, endpoint);
    const isDelivered = !this.request.isBuffered && this.nextIndex > 0;
    if (result.kind === 'broken' && isDelivered) {
      result = await this.resumeAttempt(endpoint.member.instance);
    }
    endpoint.openRequests -= 1;
    if (result.kind === 'broken') {
      return this.handleBrokenAttempt(isDelivered);
    }
    return result;
  }

  /** Revokes an attempt whose connection broke and reads its outcome. */
  private async handleBrokenAttempt(
    isDelivered: boolean,
  ): Promise<AttemptResult> {
    if (isDelivered && this.abortController.signal.aborted) {
      // The caller may resume the generation; the sidecar ends generations that
      // have had no reader for some time.
      return createLostResult();
    }
    const outcome = await this.revoke();
    if (isDelivered) {
      return createLostResult();
    }
    if (outcome !== Outcome.NOT_RUN) {
      return {kind: 'broken'};
    }
    if (this.isStopping) {
      const failure = createFailure(FailureKind.LEAVING);
      return {kind: 'failed', failure};
    }
    const kind = this.hasDeadlinePassed
      ? FailureKind.DEADLINE_PASSED
      : FailureKind.REVOKED;
    return {kind: 'failed', failure: createFailure(kind)};
  }

  private async resumeAttempt(instance: string): Promise<AttemptResult> {
    const {clock, random} = this.context;
    const timeoutAt = clock.now() + RESUME_TIMEOUT_MILLISECONDS;
    let result: AttemptResult = {kind: 'broken'};
    while (
      result.kind === 'broken' &&
      !this.abortController.signal.aborted &&
      clock.now() < timeoutAt
    ) {
      // A replacement of the sidecar may have another address.
      const endpoint = this.endpointDirectory.find(instance);
      if (endpoint !== undefined) {
        this.endpoint = endpoint;
        this.lastProgressTime = clock.now();
        const {attemptId, nextIndex: fromIndex} = this;
        const call = endpoint.client.resume({attemptId, fromIndex});
        result = await this.readEvents(call, endpoint);
      }
      if (result.kind === 'broken') {
        const delay = RESUME_DELAY_MILLISECONDS * (0.5 + random());
        await clock.sleep(delay, this.abortController.signal);
      }
    }
    return result;
  }

  private async readEvents(
    call: GenerationCall,
    endpoint: Endpoint,
  ): Promise<AttemptResult> {
    this.call = call;
    let result: AttemptResult = {kind: 'broken'};
    try {
      for await (const event of call as AsyncIterable<GenerateEvent>) {
        this.lastProgressTime = this.context.clock.now();
        const attemptResult = await this.handleEvent(event, endpoint);
        if (attemptResult !== undefined) {
          result = attemptResult;
          break;
        }
      }
    } catch {
      // The connection broke; the result is 'broken' unless the last event was
      // received before.
    }
    call.cancel();
    return result;
  }

  private async handleEvent(
    event: GenerateEvent,
    endpoint: Endpoint,
  ): Promise<AttemptResult | undefined> {
    if (event.attemptId !== this.attemptId) {
      this.droppedEvents += 1;
      return undefined;
    }
    switch (event.body?.$case) {
      case 'tokens': {
        const {firstIndex, texts} = event.body.tokens;
        return this.handleTokens(firstIndex, texts, endpoint);
      }
      case 'finished':
        return this.handleFinished(event.body.finished);
      case 'failure':
        return {kind: 'failed', failure: event.body.failure};
      default:
        return undefined;
    }
  }

  private async handleTokens(
    firstIndex: number,
    texts: readonly string[],
    endpoint: Endpoint,
  ): Promise<AttemptResult | undefined> {
    if (firstIndex > this.nextIndex) {
      return {kind: 'broken'};
    }
    const newTexts = texts.slice(this.nextIndex - firstIndex);
    if (newTexts.length === 0) {
      this.droppedEvents += 1;
      return undefined;
    }
    if (endpoint.member.region !== this.context.region) {
      this.limits.crossRegionBudget.charge(newTexts.length * BYTES_PER_TOKEN);
    }
    const firstNewIndex = this.nextIndex;
    this.nextIndex += newTexts.length;
    if (this.request.isBuffered) {
      this.bufferedTexts.push(...newTexts);
      return undefined;
    }
    const isSent = await this.sendTokens(firstNewIndex, newTexts);
    return isSent ? undefined : {kind: 'broken'};
  }

  private async handleFinished(finished: Finished): Promise<AttemptResult> {
    if (finished.tokenCount !== this.nextIndex) {
      return {kind: 'broken'};
    }
    if (this.request.isBuffered && this.bufferedTexts.length > 0) {
      await this.sendTokens(0, this.bufferedTexts);
    }
    return {kind: 'finished', finished};
  }

  private async sendTokens(
    firstIndex: number,
    texts: readonly string[],
  ): Promise<boolean> {
    const instance = this.endpoint?.member.instance ?? '';
    const generationId = `${instance}${GENERATION_SEPARATOR}${this.attemptId}`;
    const isSent = await this.events.send({
      kind: 'tokens',
      generationId,
      firstIndex,
      texts,
    });
    // The time for which the caller blocked the channel is not counted as a
    // stall of the endpoint.
    this.lastProgressTime = this.context.clock.now();
    return isSent;
  }

  /** Cancels calls that make no progress or whose deadline has passed. */
  private async runWatchdog(): Promise<void> {
    const {clock} = this.context;
    const {signal} = this.abortController;
    const {deadline} = this.request;
    while (!signal.aborted) {
      const delay = Math.min(
        WATCHDOG_INTERVAL_MILLISECONDS,
        deadline - clock.now(),
      );
      await clock.sleep(
        delay > 0 ? delay : WATCHDOG_INTERVAL_MILLISECONDS,
        signal,
      );
      if (signal.aborted) {
        return;
      }
      const now = clock.now();
      const isDelivered = !this.request.isBuffered && this.nextIndex > 0;
      if (now >= deadline && !isDelivered) {
        this.hasDeadlinePassed = true;
        this.call?.cancel();
      } else if (this.isStalled(now) && this.endpoint !== undefined) {
        this.endpointDirectory.markStalled(this.endpoint);
        this.call?.cancel();
      }
    }
  }

  private isStalled(now: number): boolean {
    const {endpoint} = this;
    if (endpoint === undefined) {
      return false;
    }
    const timeSinceProgress = now - this.lastProgressTime;
    const reportAge = now - endpoint.reportedAt;
    const isReportOverdue = reportAge > MISSING_REPORT_TIMEOUT_MILLISECONDS;
    return this.nextIndex > 0
      ? timeSinceProgress > STALL_TIMEOUT_MILLISECONDS
      : timeSinceProgress > MISSING_REPORT_TIMEOUT_MILLISECONDS &&
          isReportOverdue;
  }

  /**
   * Revokes the current attempt.
   *
   * @returns Outcome of the attempt; unknown when the sidecar does not respond
   */
  private revoke(): Promise<Outcome> {
    const {endpoint, attemptId} = this;
    if (endpoint === undefined) {
      return Promise.resolve(Outcome.NOT_RUN);
    }
    const deadline = Date.now() + REVOKE_TIMEOUT_MILLISECONDS;
    const sentMilliseconds = this.context.clock.now() - this.attemptSentAt;
    const ageMilliseconds =
      Math.max(0, Math.round(sentMilliseconds)) + REVOKE_TIMEOUT_MILLISECONDS;
    return new Promise(resolve => {
      endpoint.client.revoke(
        {attemptId, ageMilliseconds},
        new Metadata(),
        {deadline},
        (error, reply: RevokeReply | undefined) => {
          resolve(error === null && reply ? reply.outcome : Outcome.UNKNOWN);
        },
      );
    });
  }

  private countCrashes(): number {
    const {suspicions, clock} = this.context;
    return suspicions.countCrashes(this.request.fingerprint, clock.now());
  }

  private listCandidates() {
    const {service, model, requestClass} = this.request;
    return this.endpointDirectory.listCandidates({
      service,
      model,
      requestClass,
      triedInstances: this.triedInstances,
      prefixInstance: this.prefixHints.find(this.request),
      prefixTokens: this.request.prompt.length / CHARACTERS_PER_TOKEN,
    });
  }

  private selectEndpoint(): Endpoint | undefined {
    const {random, clock} = this.context;
    const chosen = chooseEndpoint(this.listCandidates(), {
      random,
      otherRegionsAllowed: this.limits.crossRegionBudget.hasRemaining(
        clock.now(),
      ),
      millisecondsPerPromptToken: MILLISECONDS_PER_PROMPT_TOKEN,
    });
    return chosen && this.endpointDirectory.find(chosen.instance);
  }

  private createGenerateRequest(crashCount: number): GenerateRequest {
    const {request} = this;
    const remaining = request.deadline - this.context.clock.now();
    return {
      attemptId: this.attemptId,
      organisation: request.organisation,
      requestClass: toMessageClass(request.requestClass),
      model: request.model,
      prompt: request.prompt,
      maxTokens: request.maximumTokens,
      deadlineMilliseconds: Math.max(0, Math.round(remaining)),
      deliverWhole: request.isBuffered,
      fingerprint: request.fingerprint,
      suspectedDeaths: crashCount,
      configurationVersion: this.context.replica.table.version,
    };
  }
}

function createLostResult(): Extract<AttemptResult, {kind: 'failed'}> {
  const failure = createFailure(FailureKind.GENERATION_LOST);
  return {kind: 'failed', failure};
}
