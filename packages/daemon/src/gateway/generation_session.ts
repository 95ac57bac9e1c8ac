/**
 * One caller's generation, over as many attempts as it takes.
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

/** A generation that a caller asked for. */
export interface SessionRequest {
  readonly organisation: string;
  readonly requestClass: RequestClassName;
  readonly service: string;
  readonly model: string;
  readonly prompt: string;
  readonly maximumTokens: number;
  /** Milliseconds since the epoch. */
  readonly deadline: number;
  /** True when nothing is delivered before the answer is complete. */
  readonly isBuffered: boolean;
  readonly fingerprint: string;
}

/** What a session hands to the caller's handler. */
export type SessionEvent =
  | {
      readonly kind: 'tokens';
      /** Names the generation, so that another gateway can continue it. */
      readonly generationId: string;
      readonly firstIndex: number;
      readonly texts: readonly string[];
    }
  | {readonly kind: 'finished'; readonly finished: Finished}
  | {readonly kind: 'failed'; readonly failure: Failure};

/** Limits that sessions of a gateway share. */
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
 * Runs attempts until one finishes or no other is allowed.
 *
 * Every token goes to the caller once, in order, and from one generation: an
 * event under another attempt's identifier or an index that was seen is
 * dropped, and once a token has been delivered the generation is continued or
 * given up, never started anew.
 */
export class GenerationSession {
  readonly events = new Channel<SessionEvent>(EVENT_BUFFER_CAPACITY);
  private readonly triedInstances = new Set<string>();
  /** Of those, the ones that could not run it yet, and may be asked again. */
  private readonly notReadyInstances = new Set<string>();
  private readonly abortController = new AbortController();
  private attemptId = '';
  private nextIndex = 0;
  private bufferedTexts: string[] = [];
  private isCertainlyNotRun = true;
  private call: GenerationCall | undefined;
  private endpoint: Endpoint | undefined;
  private lastProgressTime = 0;
  private hasDeadlinePassed = false;
  private droppedEvents = 0;
  private attempts = 0;

  constructor(
    private readonly context: ProcessContext,
    private readonly directory: EndpointDirectory,
    private readonly limits: SessionLimits,
    private readonly prefixes: PrefixHints,
    private readonly request: SessionRequest,
  ) {}

  /** Attempts made so far. */
  get attemptCount(): number {
    return this.attempts;
  }

  /** Events dropped because they belonged elsewhere or were seen. */
  get droppedEventCount(): number {
    return this.droppedEvents;
  }

  /** Runs the generation; its events end with `finished` or `failed`. */
  async run(): Promise<void> {
    this.limits.retryBudget.recordFirstAttempt();
    await this.deliverResult(() => this.runAttempts());
  }

  /**
   * Continues a generation that another gateway began.
   *
   * @param generationId - Names the generation
   * @param fromIndex - Index of the first token wanted
   */
  async resume(generationId: string, fromIndex: number): Promise<void> {
    const separator = generationId.indexOf(GENERATION_SEPARATOR);
    const instance = generationId.slice(0, Math.max(0, separator));
    this.attemptId = generationId.slice(separator + 1);
    this.nextIndex = fromIndex;
    this.isCertainlyNotRun = false;
    this.lastProgressTime = this.context.clock.now();
    await this.deliverResult(async () => {
      const end = await this.resumeAttempt(instance);
      return end.kind === 'broken' ? createLostResult() : end;
    });
  }

  /** Ends the session because its caller has gone. */
  cancel(): void {
    this.abortController.abort();
    this.events.close();
    if (this.request.isBuffered) {
      void this.revoke();
    }
    this.call?.cancel();
  }

  /** Runs the work; whatever happens in it, the caller gets an end. */
  private async deliverResult(work: () => Promise<SessionEvent>): Promise<void> {
    void this.runWatchdog();
    let end: SessionEvent = createLostResult();
    try {
      end = await work();
    } finally {
      this.abortController.abort();
      await this.events.send(end);
      this.events.close();
    }
  }

  private async runAttempts(): Promise<SessionEvent> {
    let last: Failure | undefined;
    for (;;) {
      const deaths = this.countCrashes();
      if (decideQuarantine(deaths) === 'refuse') {
        return this.createFailedEvent(createFailure(FailureKind.QUARANTINED));
      }
      const endpoint = this.selectEndpoint();
      if (endpoint === undefined) {
        const retryAfterMilliseconds = 1_000;
        return this.createFailedEvent(
          last ??
            createFailure(FailureKind.NO_ENDPOINT, {retryAfterMilliseconds}),
        );
      }
      const end = await this.runAttempt(endpoint, deaths);
      if (end.kind === 'finished') {
        return end;
      }
      last = this.recordFailure(end);
      if (last.kind !== FailureKind.OVERLOADED) {
        await this.waitForCandidate();
      }
      if (!this.tryAcquireRetry(last)) {
        return this.createFailedEvent(last);
      }
    }
  }

  private recordFailure(end: Exclude<AttemptResult, {kind: 'finished'}>): Failure {
    const failure =
      end.kind === 'failed'
        ? end.failure
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
   * Waits a little for an endpoint that has not been tried.
   *
   * After a death the others are often busy coming back; an answer that may
   * still become whole is worth the wait.
   */
  private async waitForCandidate(): Promise<void> {
    const {clock} = this.context;
    const {deadline} = this.request;
    const limit = Math.min(deadline, clock.now() + CANDIDATE_WAIT_MILLISECONDS);
    const isDelivered = !this.request.isBuffered && this.nextIndex > 0;
    while (
      !isDelivered &&
      !this.abortController.signal.aborted &&
      clock.now() < limit &&
      this.listCandidates().length === 0
    ) {
      await clock.sleep(CANDIDATE_POLL_MILLISECONDS, this.abortController.signal);
      this.notReadyInstances.forEach(instance => this.triedInstances.delete(instance));
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
    deaths: number,
  ): Promise<AttemptResult> {
    this.attempts += 1;
    this.attemptId = randomUUID();
    this.endpoint = endpoint;
    this.nextIndex = 0;
    this.bufferedTexts = [];
    this.lastProgressTime = this.context.clock.now();
    this.triedInstances.add(endpoint.member.instance);
    this.prefixes.record(this.request, endpoint.member.instance);
    endpoint.sentSinceReport += 1;
    endpoint.openRequests += 1;
    const call = endpoint.client.generate(this.createGenerateRequest(deaths));
    let end = await this.readEvents(call, endpoint);
    const isDelivered = !this.request.isBuffered && this.nextIndex > 0;
    if (end.kind === 'broken' && isDelivered) {
      end = await this.resumeAttempt(endpoint.member.instance);
    }
    endpoint.openRequests -= 1;
    if (end.kind === 'broken') {
      return this.handleBrokenAttempt(isDelivered);
    }
    return end;
  }

  /** Asks what became of an attempt whose connection broke. */
  private async handleBrokenAttempt(isDelivered: boolean): Promise<AttemptResult> {
    if (isDelivered && this.abortController.signal.aborted) {
      // The caller may come back; the sidecar ends what nobody reads for long.
      return createLostResult();
    }
    const outcome = await this.revoke();
    if (isDelivered) {
      return createLostResult();
    }
    if (outcome !== Outcome.NOT_RUN) {
      return {kind: 'broken'};
    }
    const kind = this.hasDeadlinePassed
      ? FailureKind.DEADLINE_PASSED
      : FailureKind.REVOKED;
    return {kind: 'failed', failure: createFailure(kind)};
  }

  private async resumeAttempt(instance: string): Promise<AttemptResult> {
    const {clock, random} = this.context;
    const limit = clock.now() + RESUME_TIMEOUT_MILLISECONDS;
    let end: AttemptResult = {kind: 'broken'};
    while (
      end.kind === 'broken' &&
      !this.abortController.signal.aborted &&
      clock.now() < limit
    ) {
      // A sidecar that was replaced is reached at another address.
      const endpoint = this.directory.find(instance);
      if (endpoint !== undefined) {
        this.endpoint = endpoint;
        this.lastProgressTime = clock.now();
        const {attemptId, nextIndex: fromIndex} = this;
        const call = endpoint.client.resume({attemptId, fromIndex});
        end = await this.readEvents(call, endpoint);
      }
      if (end.kind === 'broken') {
        const pause = RESUME_DELAY_MILLISECONDS * (0.5 + random());
        await clock.sleep(pause, this.abortController.signal);
      }
    }
    return end;
  }

  private async readEvents(
    call: GenerationCall,
    endpoint: Endpoint,
  ): Promise<AttemptResult> {
    this.call = call;
    let end: AttemptResult = {kind: 'broken'};
    try {
      for await (const event of call as AsyncIterable<GenerateEvent>) {
        this.lastProgressTime = this.context.clock.now();
        const ended = await this.handleEvent(event, endpoint);
        if (ended !== undefined) {
          end = ended;
          break;
        }
      }
    } catch {
      // A broken connection; the end says so unless the last event came.
    }
    call.cancel();
    return end;
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
    const fresh = texts.slice(this.nextIndex - firstIndex);
    if (fresh.length === 0) {
      this.droppedEvents += 1;
      return undefined;
    }
    if (endpoint.member.region !== this.context.region) {
      this.limits.crossRegionBudget.charge(fresh.length * BYTES_PER_TOKEN);
    }
    const first = this.nextIndex;
    this.nextIndex += fresh.length;
    if (this.request.isBuffered) {
      this.bufferedTexts.push(...fresh);
      return undefined;
    }
    const isTaken = await this.sendTokens(first, fresh);
    return isTaken ? undefined : {kind: 'broken'};
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
    const isTaken = await this.events.send({
      kind: 'tokens',
      generationId,
      firstIndex,
      texts,
    });
    // Time that the caller took does not count against the endpoint.
    this.lastProgressTime = this.context.clock.now();
    return isTaken;
  }

  /** Breaks calls that make no progress or whose deadline has passed. */
  private async runWatchdog(): Promise<void> {
    const {clock} = this.context;
    const {signal} = this.abortController;
    const {deadline} = this.request;
    while (!signal.aborted) {
      const pause = Math.min(WATCHDOG_INTERVAL_MILLISECONDS, deadline - clock.now());
      await clock.sleep(pause > 0 ? pause : WATCHDOG_INTERVAL_MILLISECONDS, signal);
      if (signal.aborted) {
        return;
      }
      const now = clock.now();
      const isDelivered = !this.request.isBuffered && this.nextIndex > 0;
      if (now >= deadline && !isDelivered) {
        this.hasDeadlinePassed = true;
        this.call?.cancel();
      } else if (this.isStalled(now) && this.endpoint !== undefined) {
        this.directory.markStalled(this.endpoint);
        this.call?.cancel();
      }
    }
  }

  private isStalled(now: number): boolean {
    const {endpoint} = this;
    if (endpoint === undefined) {
      return false;
    }
    const silence = now - this.lastProgressTime;
    const reportAge = now - endpoint.reportedAt;
    const isSilentToo = reportAge > MISSING_REPORT_TIMEOUT_MILLISECONDS;
    return this.nextIndex > 0
      ? silence > STALL_TIMEOUT_MILLISECONDS
      : silence > MISSING_REPORT_TIMEOUT_MILLISECONDS && isSilentToo;
  }

  /** Withdraws the current attempt; unknown when the sidecar is silent. */
  private revoke(): Promise<Outcome> {
    const {endpoint, attemptId} = this;
    if (endpoint === undefined) {
      return Promise.resolve(Outcome.NOT_RUN);
    }
    const deadline = Date.now() + REVOKE_TIMEOUT_MILLISECONDS;
    return new Promise(resolve => {
      endpoint.client.revoke(
        {attemptId},
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
    return suspicions.countDeaths(this.request.fingerprint, clock.now());
  }

  private listCandidates() {
    const {service, model, requestClass} = this.request;
    return this.directory.listCandidates({
      service,
      model,
      requestClass,
      triedInstances: this.triedInstances,
      prefixInstance: this.prefixes.find(this.request),
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
    return chosen && this.directory.find(chosen.instance);
  }

  private createGenerateRequest(deaths: number): GenerateRequest {
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
      suspectedDeaths: deaths,
      configurationVersion: this.context.replica.table.version,
    };
  }
}

function createLostResult(): Extract<AttemptResult, {kind: 'failed'}> {
  const failure = createFailure(FailureKind.GENERATION_LOST);
  return {kind: 'failed', failure};
}
