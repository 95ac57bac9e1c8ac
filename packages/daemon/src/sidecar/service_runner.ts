/**
 * Runs calls on the plain service of this sidecar.
 */
import {randomUUID} from 'node:crypto';

import type {Claim, ClaimLog, ClaimRequest} from '@briarpin/coordination';
import {
  FailureKind,
  Outcome,
  type LoadReport,
  type ServiceAnswer,
  type ServiceCall,
  type ServiceReply,
} from '@briarpin/messages';

import {callPlainService} from '../plain_service/call_plain_service.js';
import {createFailure, type FailureDetails} from '../shared/failures.js';
import type {ProcessContext} from '../shared/process_context.js';

/**
 * Time after a claim for which a duplicate waits for the response of the
 * attempt that holds it.
 */
const RESPONSE_WAIT_MILLISECONDS = 5_000;
/** Maximum share of the time until the deadline that the claim may take. */
const CLAIM_DEADLINE_SHARE = 0.8;
/** Age above which an acquired claim is abandoned instead of used. */
const CLAIM_MAXIMUM_AGE_MILLISECONDS = 10_000;
const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

/** Recorded when a call was sent and no complete response was received. */
const NO_RESPONSE: ServiceAnswer = {
  status: 0,
  headers: [],
  body: Buffer.alloc(0),
  replayed: false,
};

/** Options of a {@link ServiceRunner}. */
export interface ServiceRunnerOptions {
  readonly service: string;
  readonly serviceUrl: string;
}

/**
 * Runs all calls of one plain service.
 *
 * A call that is not idempotent is sent only by the attempt that holds the
 * claim of its key, and only once.
 */
export class ServiceRunner {
  private readonly openAttemptIds = new Set<string>();
  private readonly revokedAttemptIds = new Set<string>();
  private readonly sentAttemptIds = new Set<string>();
  /** Calls that wait for the response of the attempt that holds the claim. */
  private readonly replayingAttemptIds = new Set<string>();
  private openCallCount = 0;
  private isDraining = false;
  private readonly bootId = randomUUID();

  constructor(
    private readonly context: ProcessContext,
    private readonly claims: ClaimLog,
    private readonly options: ServiceRunnerOptions,
  ) {}

  get runningCount(): number {
    return this.openCallCount;
  }

  /** Rejects new calls; running calls continue. */
  startDraining(): void {
    this.isDraining = true;
  }

  /**
   * Runs a call.
   *
   * @param call - The call
   * @returns The response, or a failure whose outcome states whether it ran
   */
  async call(call: ServiceCall): Promise<ServiceReply> {
    if (this.isDraining) {
      return createFailureReply(FailureKind.LEAVING);
    }
    const deadline = this.context.clock.now() + call.deadlineMilliseconds;
    this.openCallCount += 1;
    this.openAttemptIds.add(call.attemptId);
    try {
      return await this.answerInTime(
        call,
        call.idempotent
          ? this.send(call, deadline)
          : this.claimAndCall(call, deadline),
      );
    } finally {
      this.openCallCount -= 1;
      this.openAttemptIds.delete(call.attemptId);
      this.revokedAttemptIds.delete(call.attemptId);
      this.sentAttemptIds.delete(call.attemptId);
      this.replayingAttemptIds.delete(call.attemptId);
    }
  }

  /**
   * Revokes a call.
   *
   * @returns `NOT_RUN` for an open call that has not been sent to the service; it
   *     is not sent later. `UNKNOWN` for any other: it may have run before
   */
  revoke(attemptId: string): Outcome {
    const isOpen = this.openAttemptIds.has(attemptId);
    if (!isOpen || this.sentAttemptIds.has(attemptId)) {
      return Outcome.UNKNOWN;
    }
    this.revokedAttemptIds.add(attemptId);
    return Outcome.NOT_RUN;
  }

  /** Creates the load report that is sent to gateways. */
  createLoadReport(): LoadReport {
    return {
      service: this.options.service,
      models: [],
      memoryCapacityTokens: 0,
      memoryUsedTokens: 0,
      running: this.openCallCount,
      waiting: 0,
      urgentWaitMilliseconds: 0,
      standardWaitMilliseconds: 0,
      deferrableWaitMilliseconds: 0,
      waitPerRequestMilliseconds: 1,
      leaving: this.isDraining,
      endpointAlive: true,
    };
  }

  /** Answers a call that still runs when the answers of the process are due. */
  private async answerInTime(
    call: ServiceCall,
    running: Promise<ServiceReply>,
  ): Promise<ServiceReply> {
    let stopWaiting: () => void = () => undefined;
    const answersDue = new Promise<ServiceReply>(resolve => {
      stopWaiting = this.context.gracePeriod.onAnswersDue(() =>
        resolve(this.createStoppedReply(call)),
      );
    });
    try {
      return await Promise.race([running, answersDue]);
    } finally {
      stopWaiting();
    }
  }

  private createStoppedReply(call: ServiceCall): ServiceReply {
    if (this.sentAttemptIds.has(call.attemptId)) {
      return createFailureReply(FailureKind.ENDPOINT_DIED, {
        message: 'the sidecar ended before the service answered',
      });
    }
    // The attempt that holds the claim may have run.
    return this.replayingAttemptIds.has(call.attemptId)
      ? createFailureReply(FailureKind.CLAIMED_ELSEWHERE)
      : createFailureReply(FailureKind.LEAVING);
  }

  private async claimAndCall(
    call: ServiceCall,
    deadline: number,
  ): Promise<ServiceReply> {
    const {clock} = this.context;
    const claimDeadline =
      clock.now() + call.deadlineMilliseconds * CLAIM_DEADLINE_SHARE;
    const request: ClaimRequest = {
      key: call.claimKey,
      attempt: `${call.attemptId}@${this.context.instance}/${this.bootId}`,
      fingerprint: call.bodyFingerprint,
      deadline: claimDeadline,
    };
    const claimedAt = clock.now();
    const result = await this.claims.claim(request);
    if (result.kind === 'gave_up') {
      return createFailureReply(FailureKind.LOG_UNAVAILABLE);
    }
    if (result.kind === 'lost') {
      this.replayingAttemptIds.add(call.attemptId);
      return this.replayResponse(call, result.holder, deadline);
    }
    // The process may have been suspended since it acquired the claim.
    const age = clock.now() - claimedAt;
    const isStale = age > CLAIM_MAXIMUM_AGE_MILLISECONDS;
    if (isStale || clock.now() >= claimDeadline || this.isRevoked(call)) {
      this.claims.abandon(request.key, request.attempt);
      return createFailureReply(
        this.isRevoked(call)
          ? FailureKind.REVOKED
          : FailureKind.DEADLINE_PASSED,
      );
    }
    return this.sendAndRecord(call, request, deadline);
  }

  private async sendAndRecord(
    call: ServiceCall,
    request: ClaimRequest,
    deadline: number,
  ): Promise<ServiceReply> {
    const reply = await this.send(call, deadline);
    const {body} = reply;
    const {key, attempt} = request;
    const isNotRun =
      body?.$case === 'failure' && body.failure.outcome === Outcome.NOT_RUN;
    if (isNotRun) {
      this.claims.abandon(key, attempt);
    } else {
      const response = body?.$case === 'answer' ? body.answer : NO_RESPONSE;
      this.claims.recordOutcome({
        key,
        attempt,
        status: response.status,
        bodyBase64: Buffer.from(response.body).toString('base64'),
        contentType: findContentType(response),
      });
    }
    return reply;
  }

  private async replayResponse(
    call: ServiceCall,
    holder: Claim,
    deadline: number,
  ): Promise<ServiceReply> {
    if (holder.fingerprint !== call.bodyFingerprint) {
      return createFailureReply(FailureKind.INVALID_REQUEST, {
        message: 'this Idempotency-Key was used for another request',
      });
    }
    const waitDeadline = Math.min(
      deadline,
      holder.at + RESPONSE_WAIT_MILLISECONDS,
    );
    const settled = await this.claims.waitForResponse(
      call.claimKey,
      waitDeadline,
    );
    if (settled === undefined) {
      return createFailureReply(FailureKind.REVOKED, {
        message: 'the attempt before was given up without being sent',
      });
    }
    const {response: answer} = settled;
    if (answer === undefined || answer.status === NO_RESPONSE.status) {
      return createFailureReply(FailureKind.CLAIMED_ELSEWHERE);
    }
    return createAnswerReply({
      status: answer.status,
      headers: [{name: 'content-type', value: answer.contentType}],
      body: Buffer.from(answer.bodyBase64, 'base64'),
      replayed: true,
    });
  }

  private async send(
    call: ServiceCall,
    deadline: number,
  ): Promise<ServiceReply> {
    if (this.isRevoked(call)) {
      return createFailureReply(FailureKind.REVOKED);
    }
    const remaining = deadline - this.context.clock.now();
    if (remaining <= 0) {
      return createFailureReply(FailureKind.DEADLINE_PASSED);
    }
    this.sentAttemptIds.add(call.attemptId);
    const {serviceUrl} = this.options;
    const result = await callPlainService(serviceUrl, call, remaining);
    if (result.isOk) {
      return createAnswerReply(result.value);
    }
    const {kind, message} = result.error;
    return kind === 'not_sent'
      ? createFailureReply(FailureKind.OVERLOADED, {
          message: `the service was not reached: ${message}`,
        })
      : createFailureReply(FailureKind.ENDPOINT_DIED, {
          message: `the service gave no whole answer: ${message}`,
        });
  }

  private isRevoked(call: ServiceCall): boolean {
    return (
      this.revokedAttemptIds.has(call.attemptId) ||
      this.context.gracePeriod.areAnswersDue
    );
  }
}

function findContentType(response: ServiceAnswer): string {
  const header = response.headers.find(({name}) => name === 'content-type');
  return header?.value ?? DEFAULT_CONTENT_TYPE;
}

function createAnswerReply(answer: ServiceAnswer): ServiceReply {
  return {body: {$case: 'answer', answer}};
}

function createFailureReply(
  kind: FailureKind,
  details?: FailureDetails,
): ServiceReply {
  return {body: {$case: 'failure', failure: createFailure(kind, details)}};
}
