/**
 * Scheduler for the requests of one engine.
 */
import {Heap} from '../_lib/heap.js';
import {
  admitPredictedPeak,
  type AdmissionCandidate,
  type AdmissionRule,
} from '../admission_rules/admission_rules.js';
import {computeEnginePriority} from '../compute_engine_priority/compute_engine_priority.js';
import {
  CHARGE_STEP_TOKENS,
  DEFAULT_EXPECTED_TOKENS,
  PREDICTION_REFRESH_MILLISECONDS,
  PROMPT_TOKEN_COST,
  REFUSAL_MINIMUM_OBSERVATIONS,
  REVIEW_DEADLINE_SHARE,
  REVIEW_MINIMUM_MILLISECONDS,
  QUARANTINE_RELEASE_TOKENS,
  QUARANTINE_MAXIMUM_WAIT_MILLISECONDS,
  WAIT_SAFETY_FACTOR,
} from '../constants.js';
import {decideQuarantine} from '../decide_quarantine/decide_quarantine.js';
import {FairQueue, type QueuedRequest} from '../fair_queue/fair_queue.js';
import {
  LengthModel,
  type LengthSeriesKey,
} from '../length_model/length_model.js';
import {MarginController} from '../margin_controller/margin_controller.js';
import {PeakPredictor} from '../peak_predictor/peak_predictor.js';
import {
  REQUEST_CLASSES,
  type GenerationRequest,
  type RequestClassName,
} from '../request/request.js';
import {ThroughputMeter} from '../throughput_meter/throughput_meter.js';
import {UrgentAllowance} from '../urgent_allowance/urgent_allowance.js';

/** Settings of a scheduler, which operators may change. */
export interface SchedulerPolicy {
  /** Initial margin, in standard deviations of the predicted peak. */
  readonly initialMarginDeviations: number;
  /** Target of the margin control, in preemptions per 1,000 generations. */
  readonly preemptionTargetPerThousand: number;
  /**
   * Minimum share of the work for standard and deferrable requests while any of
   * them are queued.
   */
  readonly waitingMinimumShare: number;
}

/** Settings that may differ between requests. */
export interface RequestPolicy {
  readonly urgentAllowanceTokensPerSecond: number;
  readonly maximumWaitingPerOrganisation: number;
  readonly maximumWaitMilliseconds: number;
}

/** Options of an {@link EngineScheduler}. */
export interface EngineSchedulerOptions {
  /** Tokens that fit in the engine's memory. */
  readonly capacityTokens: number;
  readonly policy: SchedulerPolicy;
  /**
   * Decides whether a generation may start; {@link admitPredictedPeak} if
   * absent.
   */
  readonly admissionRule?: AdmissionRule;
  /** Maximum number of waiting requests. */
  readonly maximumWaiting: number;
}

/** A load report of an engine. */
export interface EngineReport {
  /** Generations that the engine suspended since the last report. */
  readonly preemptions: number;
  /** Generations that wait in the engine for memory. */
  readonly waiting: number;
}

/** Reason for which a request is not run. */
export type RefusalReason =
  | 'overloaded'
  | 'too_many_waiting'
  | 'deadline_passed'
  | 'too_large'
  | 'quarantined';

/** A request that has not been started and will not be. */
export interface Refusal {
  readonly id: string;
  readonly reason: RefusalReason;
  /** Suggested delay of a retry. */
  readonly retryAfterMilliseconds: number;
}

/** A generation to start. */
export interface StartOrder {
  readonly request: GenerationRequest;
  /**
   * Priority to send to the engine, which suspends the lowest one first when it
   * runs out of memory.
   */
  readonly priority: number;
}

/** A request with the data that the scheduler derives on submission. */
interface SubmittedRequest extends QueuedRequest {
  /** Milliseconds since the epoch at which its predicted wait is reviewed. */
  readonly reviewAt: number;
  readonly policy: RequestPolicy;
  /** True when the response is sent only once it is complete. */
  readonly isBuffered: boolean;
}

/** A generation that has been started and has not ended. */
interface RunningGeneration extends AdmissionCandidate {
  readonly submitted: SubmittedRequest;
  generatedTokens: number;
  /** Generated tokens, expected or actual, charged to the organisation. */
  chargedTokens: number;
  /** Tokens recorded in the length model. */
  recordedTokens: number;
  /** True when no other request may start beside it. */
  readonly isIsolated: boolean;
}

/**
 * Admits, orders and refuses the requests of one engine.
 *
 * The caller supplies all events and the current time; the scheduler uses
 * neither sockets nor clocks. The caller starts the generations that
 * {@link startNext} returns and reports tokens, ends and preemptions.
 */
export class EngineScheduler {
  private readonly queue: FairQueue;
  private readonly lengths = new LengthModel();
  private readonly margin: MarginController;
  private readonly predictor = new PeakPredictor();
  private readonly allowance = new UrgentAllowance();
  private readonly throughput = new ThroughputMeter();
  /** Rate of the expected cost of started generations, by class. */
  private readonly startedCost = new Map<RequestClassName, ThroughputMeter>(
    REQUEST_CLASSES.map(name => [name, new ThroughputMeter()]),
  );
  private readonly waiting = new Map<string, SubmittedRequest>();
  private readonly running = new Map<string, RunningGeneration>();
  private readonly deadlines = new Heap<SubmittedRequest>(
    (left, right) => left.request.deadline < right.request.deadline,
  );
  private readonly reviews = new Heap<SubmittedRequest>(
    (left, right) => left.reviewAt < right.reviewAt,
  );
  /** Requests that wait for an empty engine, oldest first. */
  private quarantinedRequests: SubmittedRequest[] = [];
  private readonly admissionRule: AdmissionRule;
  private capacity: number;
  /** Tokens that the running generations hold. */
  private used = 0;
  /** Tokens that the running generations hold at their maximum length. */
  private reserved = 0;
  /** True while generations wait in the engine for memory. */
  private isEngineFull = false;
  private predictedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: EngineSchedulerOptions) {
    const {policy} = options;
    this.capacity = options.capacityTokens;
    this.admissionRule = options.admissionRule ?? admitPredictedPeak;
    this.queue = new FairQueue(policy.waitingMinimumShare);
    this.margin = new MarginController(
      policy.initialMarginDeviations,
      policy.preemptionTargetPerThousand,
    );
  }

  get waitingCount(): number {
    return this.waiting.size;
  }

  get runningCount(): number {
    return this.running.size;
  }

  /** Tokens that the running generations hold. */
  get usedTokens(): number {
    return this.used;
  }

  /** The margin, in standard deviations of the predicted peak. */
  get marginDeviations(): number {
    return this.margin.deviations;
  }

  /** Returns the identifiers of the running generations. */
  listRunning(): readonly string[] {
    return [...this.running.keys()];
  }

  /** Sets the tokens that fit in the engine's memory. */
  setCapacity(capacityTokens: number): void {
    this.capacity = capacityTokens;
  }

  /**
   * Applies changed settings.
   *
   * The initial margin takes effect only on construction.
   */
  setPolicy(policy: SchedulerPolicy): void {
    this.margin.setTarget(policy.preemptionTargetPerThousand);
    this.queue.setMinimumShare(policy.waitingMinimumShare);
  }

  /**
   * Queues a request, or refuses it immediately.
   *
   * @param request - The request
   * @param policy - Settings for this request
   * @param now - Milliseconds since the epoch
   * @param isBuffered - True when the response is sent only once it is complete
   * @returns The refusal; undefined when the request has been queued
   */
  submit(
    request: GenerationRequest,
    policy: RequestPolicy,
    now: number,
    isBuffered = false,
  ): Refusal | undefined {
    const submitted = this.createSubmittedRequest(
      request,
      policy,
      now,
      isBuffered,
    );
    const reason = this.findRefusalReason(submitted, now);
    if (reason !== undefined) {
      return this.createRefusal(submitted, reason);
    }
    this.waiting.set(request.id, submitted);
    this.deadlines.push(submitted);
    this.reviews.push(submitted);
    if (decideQuarantine(request.suspectedDeaths) === 'run_alone') {
      this.quarantinedRequests.push(submitted);
    } else {
      this.queue.enqueue(submitted);
    }
    return undefined;
  }

  /**
   * Selects a generation that may start now, and records it as running.
   *
   * @param now - Milliseconds since the epoch
   * @returns The generation to start; undefined when none may start now
   */
  startNext(now: number): StartOrder | undefined {
    if (this.waiting.size === 0) {
      return undefined;
    }
    const quarantined = this.quarantinedRequests[0];
    if (quarantined !== undefined) {
      return this.running.size === 0 ? this.startQuarantined(now) : undefined;
    }
    if (this.isIsolationActive()) {
      return undefined;
    }
    const isWaiting = (candidate: QueuedRequest) => this.isWaiting(candidate);
    this.refreshPrediction(now);
    const isFull = this.isEngineFull && this.running.size > 0;
    const first = isFull ? undefined : this.queue.peek(now, isWaiting);
    const order = first && this.tryStart(first as SubmittedRequest, now);
    if (order !== undefined || first?.schedulingClass === 'urgent') {
      return order;
    }
    // A request that does not fit yet must not delay an urgent one that does.
    const urgent = this.queue.peekUrgent(now, isWaiting);
    return urgent && this.tryStart(urgent as SubmittedRequest, now);
  }

  /**
   * Refuses waiting requests that cannot start in time.
   *
   * The predicted wait of each request is reviewed once, after a share of the
   * time to its deadline; a request that is predicted to miss its deadline is
   * refused then, before the deadline passes. A quarantined request that has
   * waited too long for an empty engine is refused as well.
   *
   * @param now - Milliseconds since the epoch
   * @returns The refused requests
   */
  expire(now: number): readonly Refusal[] {
    const refusals: Refusal[] = [];
    const refuse = (submitted: SubmittedRequest, reason: RefusalReason) => {
      this.withdraw(submitted.request.id);
      refusals.push(this.createRefusal(submitted, reason));
    };
    for (const submitted of popDue(
      this.reviews,
      ({reviewAt}) => reviewAt,
      now,
    )) {
      if (
        this.isWaiting(submitted) &&
        this.isPredictedToMissDeadline(submitted, now)
      ) {
        refuse(submitted, 'overloaded');
      }
    }
    const passed = popDue(this.deadlines, ({request}) => request.deadline, now);
    for (const submitted of passed) {
      if (this.isWaiting(submitted)) {
        refuse(submitted, 'deadline_passed');
      }
    }
    const oldest = this.quarantinedRequests[0];
    const enqueuedBefore = now - QUARANTINE_MAXIMUM_WAIT_MILLISECONDS;
    if (oldest !== undefined && oldest.enqueuedAt <= enqueuedBefore) {
      refuse(oldest, 'quarantined');
    }
    return refusals;
  }

  /**
   * Removes a waiting request.
   *
   * @param id - Its identifier
   * @returns True when it was waiting, which guarantees that it has not started
   */
  withdraw(id: string): boolean {
    const submitted = this.waiting.get(id);
    if (submitted === undefined) {
      return false;
    }
    this.waiting.delete(id);
    this.quarantinedRequests = this.quarantinedRequests.filter(
      quarantined => quarantined !== submitted,
    );
    this.queue.withdraw(submitted);
    return true;
  }

  /**
   * Records tokens that a running generation has produced.
   *
   * @param id - Its identifier
   * @param count - Number of tokens since the last call
   * @param now - Milliseconds since the epoch
   */
  recordTokens(id: string, count: number, now: number): void {
    const running = this.running.get(id);
    if (running === undefined) {
      return;
    }
    running.generatedTokens += count;
    this.used += count;
    this.throughput.record(count, now);
    const uncharged = running.generatedTokens - running.chargedTokens;
    if (uncharged >= CHARGE_STEP_TOKENS) {
      this.charge(running, uncharged, now);
    }
  }

  /**
   * Records that a generation has ended.
   *
   * @param id - Its identifier
   * @param isComplete - True when it was not cut off, so that its length is
   *     representative and is recorded
   * @param now - Milliseconds since the epoch
   */
  recordEnd(id: string, isComplete: boolean, now: number): void {
    const running = this.running.get(id);
    if (running === undefined) {
      return;
    }
    this.predictor.remove(running);
    this.running.delete(id);
    this.used -= running.promptTokens + running.generatedTokens;
    this.reserved -= computeReservation(running);
    this.charge(running, running.generatedTokens - running.chargedTokens, now);
    if (isComplete) {
      const {submitted, generatedTokens, recordedTokens} = running;
      this.lengths.observe(submitted.request, generatedTokens, recordedTokens);
      this.margin.recordCompletion();
    }
  }

  /**
   * Records the length of a generation that this scheduler did not run.
   *
   * @param subject - Organisation, class and model of the generation
   * @param tokens - Its length
   */
  recordLength(subject: LengthSeriesKey, tokens: number): void {
    this.lengths.observe(subject, tokens);
  }

  /**
   * Records a load report of the engine.
   *
   * While generations wait in the engine for memory, only urgent ones are
   * started, unless none is running.
   *
   * @param report - The report
   */
  recordEngineReport(report: EngineReport): void {
    this.margin.recordPreemptions(report.preemptions);
    this.isEngineFull = report.waiting > 0;
  }

  /**
   * Predicts the wait of a new request.
   *
   * @param requestClass - Its class
   * @param organisation - Its organisation
   * @param weight - Weight of the organisation
   * @returns Milliseconds
   */
  predictWait(
    requestClass: RequestClassName,
    organisation: string,
    weight: number,
  ): number {
    const cost = this.queue.costAhead(requestClass, organisation, weight);
    return this.throughput.predictTime(cost) / this.computeShare(requestClass);
  }

  /**
   * Predicts the wait that a request of mean length adds for later ones, in
   * milliseconds.
   */
  predictWaitPerRequest(): number {
    return this.throughput.predictTime(this.lengths.overallMean);
  }

  /**
   * Computes the share of the work that more urgent classes do not use; at
   * least the minimum share of the policy.
   */
  private computeShare(requestClass: RequestClassName): number {
    const totalRate = sumRates(this.startedCost.values());
    if (requestClass === 'urgent' || totalRate === 0) {
      return 1;
    }
    const above = REQUEST_CLASSES.slice(
      0,
      REQUEST_CLASSES.indexOf(requestClass),
    );
    const usedRate = sumRates(
      above.map(name => this.startedCost.get(name) as ThroughputMeter),
    );
    const minimumShare = this.options.policy.waitingMinimumShare;
    return Math.max(minimumShare, 1 - usedRate / totalRate);
  }

  private createSubmittedRequest(
    request: GenerationRequest,
    policy: RequestPolicy,
    now: number,
    isBuffered: boolean,
  ): SubmittedRequest {
    const expected = this.lengths
      .find(request)
      .computeMean(DEFAULT_EXPECTED_TOKENS);
    const tokens = Math.min(expected, request.maximumTokens ?? expected);
    const duration =
      tokens * this.throughput.millisecondsPerStep(this.running.size);
    return {
      request,
      policy,
      isBuffered,
      schedulingClass: this.chooseSchedulingClass(request, policy, now),
      expectedCost: tokens + request.promptTokens * PROMPT_TOKEN_COST,
      enqueuedAt: now,
      latestStart: request.deadline - 2 * duration,
      reviewAt:
        now +
        Math.max(
          REVIEW_MINIMUM_MILLISECONDS,
          REVIEW_DEADLINE_SHARE * (request.deadline - now),
        ),
    };
  }

  /** Demotes urgent requests of an organisation without remaining allowance. */
  private chooseSchedulingClass(
    request: GenerationRequest,
    policy: RequestPolicy,
    now: number,
  ): RequestClassName {
    const rate = policy.urgentAllowanceTokensPerSecond;
    const isUrgent =
      request.requestClass === 'urgent' &&
      this.allowance.hasRemaining(request.organisation, rate, now);
    return request.requestClass === 'urgent' && !isUrgent
      ? 'standard'
      : request.requestClass;
  }

  private findRefusalReason(
    submitted: SubmittedRequest,
    now: number,
  ): RefusalReason | undefined {
    const {request, policy} = submitted;
    const {organisation, weight} = request;
    if (decideQuarantine(request.suspectedDeaths) === 'refuse') {
      return 'quarantined';
    }
    if (request.promptTokens >= this.capacity) {
      return 'too_large';
    }
    if (request.deadline <= now) {
      return 'deadline_passed';
    }
    const ownWaiting = this.queue.countWaiting(organisation);
    const isFull = this.waiting.size >= this.options.maximumWaiting;
    if (isFull || ownWaiting >= policy.maximumWaitingPerOrganisation) {
      return 'too_many_waiting';
    }
    const wait = this.predictWait(
      submitted.schedulingClass,
      organisation,
      weight,
    );
    const isTooLong = wait > policy.maximumWaitMilliseconds;
    return isTooLong || this.wouldMissDeadline(submitted, wait, now)
      ? 'overloaded'
      : undefined;
  }

  /**
   * Returns whether a waiting request is predicted to miss its deadline from
   * its present position in the queue.
   */
  private isPredictedToMissDeadline(
    submitted: SubmittedRequest,
    now: number,
  ): boolean {
    const cost = this.queue.costAheadOf(submitted);
    const share = this.computeShare(submitted.schedulingClass);
    const wait = this.throughput.predictTime(cost) / share;
    return this.wouldMissDeadline(submitted, wait, now);
  }

  /** Returns whether a request misses its deadline after a given wait. */
  private wouldMissDeadline(
    submitted: SubmittedRequest,
    wait: number,
    now: number,
  ): boolean {
    if (
      this.lengths.observations < REFUSAL_MINIMUM_OBSERVATIONS ||
      wait === 0
    ) {
      return false;
    }
    const duration = (submitted.request.deadline - submitted.latestStart) / 2;
    const needed = wait * WAIT_SAFETY_FACTOR + duration;
    return needed > submitted.request.deadline - now;
  }

  private createRefusal(
    submitted: SubmittedRequest,
    reason: RefusalReason,
  ): Refusal {
    const {id, organisation, weight} = submitted.request;
    const wait = this.predictWait(
      submitted.schedulingClass,
      organisation,
      weight,
    );
    const retryAfterMilliseconds = Math.max(1_000, Math.round(wait / 2));
    return {id, reason, retryAfterMilliseconds};
  }

  private isWaiting(candidate: QueuedRequest): boolean {
    return this.waiting.get(candidate.request.id) === candidate;
  }

  /** Returns whether a running request excludes others from starting. */
  private isIsolationActive(): boolean {
    if (this.running.size !== 1) {
      return false;
    }
    const [only] = this.running.values();
    const isReleased =
      (only?.generatedTokens ?? 0) >= QUARANTINE_RELEASE_TOKENS;
    return only !== undefined && only.isIsolated && !isReleased;
  }

  private startQuarantined(now: number): StartOrder | undefined {
    const submitted = this.quarantinedRequests.shift();
    return submitted && this.start(this.createRunning(submitted, true), now);
  }

  private createRunning(
    submitted: SubmittedRequest,
    isIsolated: boolean,
  ): RunningGeneration {
    const {request, schedulingClass} = submitted;
    return {
      id: request.id,
      schedulingClass,
      submitted,
      promptTokens: request.promptTokens,
      maximumTokens: request.maximumTokens,
      distribution: this.lengths.find(request),
      generatedTokens: 0,
      recordedTokens: 0,
      chargedTokens:
        submitted.expectedCost - request.promptTokens * PROMPT_TOKEN_COST,
      isIsolated,
    };
  }

  private tryStart(
    submitted: SubmittedRequest,
    now: number,
  ): StartOrder | undefined {
    const candidate = this.createRunning(submitted, false);
    if (this.running.size > 0 && !this.admits(candidate)) {
      return undefined;
    }
    this.queue.dequeue(submitted);
    return this.start(candidate, now);
  }

  private admits(candidate: RunningGeneration): boolean {
    return this.admissionRule(candidate, {
      capacityTokens: this.capacity,
      usedTokens: this.used,
      runningCount: this.running.size,
      reservedTokens: this.reserved,
      predictor: this.predictor,
      marginDeviations: this.margin.deviations,
    });
  }

  private start(running: RunningGeneration, now: number): StartOrder {
    const {request, policy, schedulingClass, isBuffered} = running.submitted;
    this.waiting.delete(request.id);
    this.running.set(request.id, running);
    this.predictor.add(running);
    this.used += running.promptTokens;
    this.reserved += computeReservation(running);
    this.startedCost
      .get(schedulingClass)
      ?.record(running.submitted.expectedCost, now);
    if (schedulingClass === 'urgent') {
      const rate = policy.urgentAllowanceTokensPerSecond;
      const cost = running.submitted.expectedCost;
      this.allowance.charge(request.organisation, rate, cost, now);
    }
    const priority = computeEnginePriority({schedulingClass, isBuffered});
    return {request, priority};
  }

  private charge(running: RunningGeneration, cost: number, now: number): void {
    const {request, policy, schedulingClass} = running.submitted;
    running.chargedTokens += cost;
    this.queue.charge(
      schedulingClass,
      request.organisation,
      cost,
      request.weight,
    );
    if (schedulingClass === 'urgent') {
      const rate = policy.urgentAllowanceTokensPerSecond;
      this.allowance.charge(request.organisation, rate, cost, now);
    }
  }

  private recordProgress(): void {
    for (const running of this.running.values()) {
      const {generatedTokens, recordedTokens} = running;
      this.lengths.recordProgress(
        running.submitted.request,
        recordedTokens,
        generatedTokens,
      );
      running.recordedTokens = generatedTokens;
    }
  }

  private refreshPrediction(now: number): void {
    if (now - this.predictedAt >= PREDICTION_REFRESH_MILLISECONDS) {
      this.predictedAt = now;
      this.recordProgress();
      this.predictor.reset(this.running.values());
    }
  }
}

/** Removes and yields the requests that are due, in order. */
function* popDue(
  heap: Heap<SubmittedRequest>,
  dueAt: (submitted: SubmittedRequest) => number,
  now: number,
): Generator<SubmittedRequest> {
  let first = heap.peek();
  while (first !== undefined && dueAt(first) <= now) {
    heap.pop();
    yield first;
    first = heap.peek();
  }
}

function sumRates(meters: Iterable<ThroughputMeter>): number {
  let total = 0;
  for (const meter of meters) {
    total += meter.tokensPerSecond;
  }
  return total;
}

/** Tokens of a generation at its maximum length; of its prompt without one. */
function computeReservation(running: RunningGeneration): number {
  return running.promptTokens + (running.maximumTokens ?? 0);
}
