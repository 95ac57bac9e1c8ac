/**
 * Runs calls on the plain service beside this sidecar.
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

/** Longest time that a repeat waits for the answer of the attempt before. */
const ANSWER_WAIT_MILLISECONDS = 5_000;
/** Part of the deadline that is spent on the claim at most. */
const CLAIM_DEADLINE_SHARE = 0.8;
/** Age above which a claim that was won is given up instead of used. */
const CLAIM_MAXIMUM_AGE_MILLISECONDS = 10_000;
const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

/** Recorded when a call was sent and no whole answer came. */
const NO_ANSWER: ServiceAnswer = {
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
 * Owns all calls of one plain service.
 *
 * A call that may not be repeated is sent only by the attempt that holds the
 * claim of its key, and only once.
 */
export class ServiceRunner {
  private readonly revoked = new Set<string>();
  private readonly sent = new Set<string>();
  private running = 0;
  private leaving = false;
  private readonly bootId = randomUUID();

  constructor(
    private readonly context: ProcessContext,
    private readonly claims: ClaimLog,
    private readonly options: ServiceRunnerOptions,
  ) {}

  get runningCount(): number {
    return this.running;
  }

  /** Refuses new calls; what runs goes on. */
  leave(): void {
    this.leaving = true;
  }

  /**
   * Runs a call.
   *
   * @param call - The call
   * @returns The answer, or a failure that says whether it ran
   */
  async call(call: ServiceCall): Promise<ServiceReply> {
    if (this.leaving) {
      return failed(FailureKind.LEAVING);
    }
    const deadline = this.context.clock.now() + call.deadlineMilliseconds;
    this.running += 1;
    try {
      return call.idempotent
        ? await this.send(call, deadline)
        : await this.callOnce(call, deadline);
    } finally {
      this.running -= 1;
      this.sent.delete(call.attemptId);
    }
  }

  /** Withdraws a call; `NOT_RUN` only when it will never be sent. */
  revoke(attemptId: string): Outcome {
    if (this.sent.has(attemptId)) {
      return Outcome.UNKNOWN;
    }
    this.revoked.add(attemptId);
    return Outcome.NOT_RUN;
  }

  /** What this sidecar tells gateways of its load. */
  report(): LoadReport {
    return {
      service: this.options.service,
      models: [],
      memoryCapacityTokens: 0,
      memoryUsedTokens: 0,
      running: this.running,
      waiting: 0,
      urgentWaitMilliseconds: 0,
      standardWaitMilliseconds: 0,
      deferrableWaitMilliseconds: 0,
      waitPerRequestMilliseconds: 1,
      leaving: this.leaving,
      endpointAlive: true,
    };
  }

  private async callOnce(
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
      return failed(FailureKind.LOG_UNAVAILABLE, {
        retryAfterMilliseconds: 1_000,
      });
    }
    if (result.kind === 'lost') {
      return this.answerRepeat(call, result.holder, deadline);
    }
    // The process may have been paused since the claim was won.
    const age = clock.now() - claimedAt;
    const isStale = age > CLAIM_MAXIMUM_AGE_MILLISECONDS;
    if (isStale || clock.now() >= claimDeadline || this.isRevoked(call)) {
      this.claims.abandon(request.key, request.attempt);
      return failed(
        this.isRevoked(call)
          ? FailureKind.REVOKED
          : FailureKind.DEADLINE_PASSED,
      );
    }
    return this.sendOnce(call, request, deadline);
  }

  private async sendOnce(
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
      const answer = body?.$case === 'answer' ? body.answer : NO_ANSWER;
      this.claims.recordOutcome({
        key,
        attempt,
        status: answer.status,
        bodyBase64: Buffer.from(answer.body).toString('base64'),
        contentType: findContentType(answer),
      });
    }
    return reply;
  }

  private async answerRepeat(
    call: ServiceCall,
    holder: Claim,
    deadline: number,
  ): Promise<ServiceReply> {
    if (holder.fingerprint !== call.bodyFingerprint) {
      return failed(FailureKind.INVALID_REQUEST, {
        message: 'this Idempotency-Key was used for another request',
      });
    }
    const latest = Math.min(deadline, holder.at + ANSWER_WAIT_MILLISECONDS);
    const settled = await this.claims.waitForResponse(call.claimKey, latest);
    if (settled === undefined) {
      return failed(FailureKind.REVOKED, {
        message: 'the attempt before was given up without being sent',
      });
    }
    const {response: answer} = settled;
    if (answer === undefined || answer.status === NO_ANSWER.status) {
      return failed(FailureKind.CLAIMED_ELSEWHERE);
    }
    return answered({
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
      return failed(FailureKind.REVOKED);
    }
    const remaining = deadline - this.context.clock.now();
    if (remaining <= 0) {
      return failed(FailureKind.DEADLINE_PASSED);
    }
    this.sent.add(call.attemptId);
    const {serviceUrl} = this.options;
    const answer = await callPlainService(serviceUrl, call, remaining);
    if (answer.isOk) {
      return answered(answer.value);
    }
    const {kind, message} = answer.error;
    return kind === 'not_sent'
      ? failed(FailureKind.OVERLOADED, {
          message: `the service was not reached: ${message}`,
          retryAfterMilliseconds: 1_000,
        })
      : failed(FailureKind.ENDPOINT_DIED, {
          message: `the service gave no whole answer: ${message}`,
        });
  }

  private isRevoked(call: ServiceCall): boolean {
    return this.revoked.has(call.attemptId);
  }
}

function findContentType(answer: ServiceAnswer): string {
  const header = answer.headers.find(({name}) => name === 'content-type');
  return header?.value ?? DEFAULT_CONTENT_TYPE;
}

function answered(answer: ServiceAnswer): ServiceReply {
  return {body: {$case: 'answer', answer}};
}

function failed(kind: FailureKind, details?: FailureDetails): ServiceReply {
  return {body: {$case: 'failure', failure: createFailure(kind, details)}};
}
