/**
 * All decisions for the work of one engine.
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
  EXPECTED_TOKENS,
  PREDICTION_REFRESH_MILLISECONDS,
  PROMPT_TOKEN_COST,
  REFUSAL_MINIMUM_OBSERVATIONS,
  REVIEW_DEADLINE_SHARE,
  REVIEW_MINIMUM_MILLISECONDS,
  SUSPECT_CLEARING_TOKENS,
  SUSPECT_WAIT_MILLISECONDS,
  WAIT_SAFETY_FACTOR,
} from '../constants.js';
import {decideQuarantine} from '../decide_quarantine/decide_quarantine.js';
import {FairQueue, type WaitingRequest} from '../fair_queue/fair_queue.js';
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

/** Values that operators set. */
export interface SchedulerPolicy {
  /** Margin at start, in standard deviations of the predicted peak. */
  readonly initialMarginDeviations: number;
  /** Preemptions in 1,000 generations that the margin aims at. */
  readonly preemptionTargetPerThousand: number;
  /** Share of work that waiting standard and deferrable requests are given. */
  readonly waitingMinimumShare: number;
}

/** Values that may differ from one request to the next. */
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
  /** Decides whether a generation may start; the predicted peak if absent. */
  readonly admissionRule?: AdmissionRule;
  /** Most requests that may wait. */
  readonly maximumWaiting: number;
}

/** What an engine says of itself. */
export interface EngineReport {
  /** Generations that it suspended since the last report. */
  readonly preemptions: number;
  /** Generations that wait inside it for memory. */
  readonly waiting: number;
}

/** Why a request is not run. */
export type RefusalReason =
  | 'overloaded'
  | 'too_many_waiting'
  | 'deadline_passed'
  | 'too_large'
  | 'quarantined';

/** A request that is certainly not run here. */
export interface Refusal {
  readonly id: string;
  readonly reason: RefusalReason;
  /** Milliseconds after which asking again makes sense. */
  readonly retryAfterMilliseconds: number;
}

/** A generation to start. */
export interface StartOrder {
  readonly request: GenerationRequest;
  /** Priority to tell the engine; larger is kept longer. */
  readonly priority: number;
}

interface Waiting extends WaitingRequest {
  /** Milliseconds since the epoch at which it is looked at once more. */
  readonly reviewAt: number;
  readonly policy: RequestPolicy;
  readonly deliveredWhole: boolean;
}

interface Running extends AdmissionCandidate {
  readonly waiting: Waiting;
  generatedTokens: number;
  chargedTokens: number;
  /** Tokens that the length model has been told of. */
  notedTokens: number;
  readonly alone: boolean;
}

/**
 * Admits, orders and refuses the work of one engine.
 *
 * It is driven by events and a time that the caller supplies, and touches
 * neither sockets nor clocks. The caller starts what {@link next} returns and
 * reports tokens, ends and preemptions.
 */
export class EngineScheduler {
  private readonly queue: FairQueue;
  private readonly lengths = new LengthModel();
  private readonly margin: MarginController;
  private readonly predictor = new PeakPredictor();
  private readonly allowance = new UrgentAllowance();
  private readonly throughput = new ThroughputMeter();
  /** Work started in each class. */
  private readonly startedWork = new Map<RequestClassName, ThroughputMeter>(
    REQUEST_CLASSES.map(name => [name, new ThroughputMeter()]),
  );
  private readonly waiting = new Map<string, Waiting>();
  private readonly running = new Map<string, Running>();
  private readonly deadlines = new Heap<Waiting>(
    (left, right) => left.request.deadline < right.request.deadline,
  );
  private readonly reviews = new Heap<Waiting>(
    (left, right) => left.reviewAt < right.reviewAt,
  );
  private suspects: Waiting[] = [];
  private readonly admissionRule: AdmissionRule;
  private capacity: number;
  private used = 0;
  private reserved = 0;
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

  /** Identifiers of what runs. */
  listRunning(): readonly string[] {
    return [...this.running.keys()];
  }

  /** Sets the tokens that fit in the engine's memory. */
  setCapacity(capacityTokens: number): void {
    this.capacity = capacityTokens;
  }

  /** Takes values that operators changed. */
  setPolicy(policy: SchedulerPolicy): void {
    this.margin.setTarget(policy.preemptionTargetPerThousand);
    this.queue.setMinimumShare(policy.waitingMinimumShare);
  }

  /**
   * Takes a request, or refuses it at once.
   *
   * @param request - The request
   * @param policy - Values for its kind
   * @param now - Milliseconds since the epoch
   * @param deliveredWhole - True when its tokens are not streamed
   * @returns Why it is refused; undefined when it waits
   */
  submit(
    request: GenerationRequest,
    policy: RequestPolicy,
    now: number,
    deliveredWhole = false,
  ): Refusal | undefined {
    const waiting = this.createWaiting(request, policy, now, deliveredWhole);
    const reason = this.findRefusal(waiting, now);
    if (reason !== undefined) {
      return this.refuse(waiting, reason);
    }
    this.waiting.set(request.id, waiting);
    this.deadlines.push(waiting);
    this.reviews.push(waiting);
    if (decideQuarantine(request.suspectedDeaths) === 'run_alone') {
      this.suspects.push(waiting);
    } else {
      this.queue.enqueue(waiting);
    }
    return undefined;
  }

  /**
   * Chooses a generation that may start now, and counts it as running.
   *
   * @param now - Milliseconds since the epoch
   * @returns What to start; undefined when nothing may start now
   */
  next(now: number): StartOrder | undefined {
    if (this.waiting.size === 0) {
      return undefined;
    }
    const suspect = this.suspects[0];
    if (suspect !== undefined) {
      return this.running.size === 0 ? this.startSuspect(now) : undefined;
    }
    if (this.isRunningAlone()) {
      return undefined;
    }
    const isWaiting = (candidate: WaitingRequest) => this.isWaiting(candidate);
    this.refreshPrediction(now);
    const isFull = this.isEngineFull && this.running.size > 0;
    const first = isFull ? undefined : this.queue.peek(now, isWaiting);
    const order = first && this.tryStart(first as Waiting, now);
    if (order !== undefined || first?.orderedAs === 'urgent') {
      return order;
    }
    // A long one that does not fit yet holds up no urgent one that does.
    const urgent = this.queue.peekUrgent(now, isWaiting);
    return urgent && this.tryStart(urgent as Waiting, now);
  }

  /**
   * Removes waiting requests that are given up.
   *
   * Each is looked at once more after a part of its time has passed; one that
   * would be late is refused then rather than at its deadline. Suspects that
   * have waited too long for an empty engine are refused as well.
   *
   * @param now - Milliseconds since the epoch
   * @returns What is refused
   */
  expire(now: number): readonly Refusal[] {
    const refusals: Refusal[] = [];
    const giveUp = (waiting: Waiting, reason: RefusalReason) => {
      this.withdraw(waiting.request.id);
      refusals.push(this.refuse(waiting, reason));
    };
    for (const waiting of popUntil(
      this.reviews,
      ({reviewAt}) => reviewAt,
      now,
    )) {
      if (this.isWaiting(waiting) && this.wouldBeLate(waiting, now)) {
        giveUp(waiting, 'overloaded');
      }
    }
    const passed = popUntil(
      this.deadlines,
      ({request}) => request.deadline,
      now,
    );
    for (const waiting of passed) {
      if (this.isWaiting(waiting)) {
        giveUp(waiting, 'deadline_passed');
      }
    }
    const oldest = this.suspects[0];
    const waitedSince = now - SUSPECT_WAIT_MILLISECONDS;
    if (oldest !== undefined && oldest.enqueuedAt <= waitedSince) {
      giveUp(oldest, 'quarantined');
    }
    return refusals;
  }

  /**
   * Removes a request that waits.
   *
   * @param id - Its identifier
   * @returns True when it waited; it has then certainly not started
   */
  withdraw(id: string): boolean {
    const waiting = this.waiting.get(id);
    if (waiting === undefined) {
      return false;
    }
    this.waiting.delete(id);
    this.suspects = this.suspects.filter(suspect => suspect !== waiting);
    this.queue.noteWithdrawn(waiting);
    return true;
  }

  /**
   * Notes tokens that a running generation produced.
   *
   * @param id - Its identifier
   * @param count - Tokens
   * @param now - Milliseconds since the epoch
   */
  noteTokens(id: string, count: number, now: number): void {
    const running = this.running.get(id);
    if (running === undefined) {
      return;
    }
    running.generatedTokens += count;
    this.used += count;
    this.throughput.note(count, now);
    const uncharged = running.generatedTokens - running.chargedTokens;
    if (uncharged >= CHARGE_STEP_TOKENS) {
      this.charge(running, uncharged, now);
    }
  }

  /**
   * Notes that a generation has ended.
   *
   * @param id - Its identifier
   * @param complete - True when it reached its own end, so that its length
   *     is worth learning
   * @param now - Milliseconds since the epoch
   */
  noteEnded(id: string, complete: boolean, now: number): void {
    const running = this.running.get(id);
    if (running === undefined) {
      return;
    }
    this.predictor.remove(running);
    this.running.delete(id);
    this.used -= running.promptTokens + running.generatedTokens;
    this.reserved -= reservationOf(running);
    this.charge(running, running.generatedTokens - running.chargedTokens, now);
    if (complete) {
      const {waiting, generatedTokens, notedTokens} = running;
      this.lengths.observe(waiting.request, generatedTokens, notedTokens);
      this.margin.noteFinished();
    }
  }

  /**
   * Learns from a generation that ran elsewhere or before.
   *
   * @param subject - Its kind
   * @param tokens - Its length
   */
  learnLength(subject: LengthSeriesKey, tokens: number): void {
    this.lengths.observe(subject, tokens);
  }

  /**
   * Takes a report of the engine.
   *
   * While the engine itself holds generations back for want of memory, only
   * urgent ones are started.
   *
   * @param report - Preemptions since the last report, and what waits there
   */
  noteEngineReport(report: EngineReport): void {
    this.margin.notePreemptions(report.preemptions);
    this.isEngineFull = report.waiting > 0;
  }

  /**
   * Predicts how long a new request would wait.
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
    return this.throughput.timeFor(cost) / this.shareLeftTo(requestClass);
  }

  /** Predicts the wait that one more request of usual size adds. */
  predictWaitPerRequest(): number {
    return this.throughput.timeFor(this.lengths.overallMean);
  }

  /** Part of the work that classes above a class do not take. */
  private shareLeftTo(requestClass: RequestClassName): number {
    const total = sumRates(this.startedWork.values());
    if (requestClass === 'urgent' || total === 0) {
      return 1;
    }
    const above = REQUEST_CLASSES.slice(
      0,
      REQUEST_CLASSES.indexOf(requestClass),
    );
    const taken = sumRates(
      above.map(name => this.startedWork.get(name) as ThroughputMeter),
    );
    const least = this.options.policy.waitingMinimumShare;
    return Math.max(least, 1 - taken / total);
  }

  private createWaiting(
    request: GenerationRequest,
    policy: RequestPolicy,
    now: number,
    deliveredWhole: boolean,
  ): Waiting {
    const expected = this.lengths.find(request).computeMean(EXPECTED_TOKENS);
    const tokens = Math.min(expected, request.maximumTokens ?? expected);
    const duration =
      tokens * this.throughput.millisecondsPerStep(this.running.size);
    return {
      request,
      policy,
      deliveredWhole,
      orderedAs: this.chooseClass(request, policy, now),
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

  private chooseClass(
    request: GenerationRequest,
    policy: RequestPolicy,
    now: number,
  ): RequestClassName {
    const rate = policy.urgentAllowanceTokensPerSecond;
    const isUrgent =
      request.requestClass === 'urgent' &&
      this.allowance.hasLeft(request.organisation, rate, now);
    return request.requestClass === 'urgent' && !isUrgent
      ? 'standard'
      : request.requestClass;
  }

  private findRefusal(
    waiting: Waiting,
    now: number,
  ): RefusalReason | undefined {
    const {request, policy} = waiting;
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
    const wait = this.predictWait(waiting.orderedAs, organisation, weight);
    const isTooLong = wait > policy.maximumWaitMilliseconds;
    return isTooLong || this.isTooLate(waiting, wait, now)
      ? 'overloaded'
      : undefined;
  }

  /** Tells whether a waiting request would be late where it stands now. */
  private wouldBeLate(waiting: Waiting, now: number): boolean {
    const cost = this.queue.costAheadOf(waiting);
    const share = this.shareLeftTo(waiting.orderedAs);
    const wait = this.throughput.timeFor(cost) / share;
    return this.isTooLate(waiting, wait, now);
  }

  private isTooLate(waiting: Waiting, wait: number, now: number): boolean {
    if (
      this.lengths.observations < REFUSAL_MINIMUM_OBSERVATIONS ||
      wait === 0
    ) {
      return false;
    }
    const duration = (waiting.request.deadline - waiting.latestStart) / 2;
    const needed = wait * WAIT_SAFETY_FACTOR + duration;
    return needed > waiting.request.deadline - now;
  }

  private refuse(waiting: Waiting, reason: RefusalReason): Refusal {
    const {id, organisation, weight} = waiting.request;
    const wait = this.predictWait(waiting.orderedAs, organisation, weight);
    const retryAfterMilliseconds = Math.max(1_000, Math.round(wait / 2));
    return {id, reason, retryAfterMilliseconds};
  }

  private isWaiting(candidate: WaitingRequest): boolean {
    return this.waiting.get(candidate.request.id) === candidate;
  }

  private isRunningAlone(): boolean {
    if (this.running.size !== 1) {
      return false;
    }
    const [only] = this.running.values();
    const cleared = (only?.generatedTokens ?? 0) >= SUSPECT_CLEARING_TOKENS;
    return only !== undefined && only.alone && !cleared;
  }

  private startSuspect(now: number): StartOrder | undefined {
    const suspect = this.suspects.shift();
    return suspect && this.start(this.createRunning(suspect, true), now);
  }

  private createRunning(waiting: Waiting, alone: boolean): Running {
    const {request, orderedAs} = waiting;
    return {
      id: request.id,
      orderedAs,
      waiting,
      promptTokens: request.promptTokens,
      maximumTokens: request.maximumTokens,
      distribution: this.lengths.find(request),
      generatedTokens: 0,
      notedTokens: 0,
      chargedTokens:
        waiting.expectedCost - request.promptTokens * PROMPT_TOKEN_COST,
      alone,
    };
  }

  private tryStart(waiting: Waiting, now: number): StartOrder | undefined {
    const candidate = this.createRunning(waiting, false);
    if (this.running.size > 0 && !this.admits(candidate)) {
      return undefined;
    }
    this.queue.dequeue(waiting);
    return this.start(candidate, now);
  }

  private admits(candidate: Running): boolean {
    return this.admissionRule(candidate, {
      capacityTokens: this.capacity,
      usedTokens: this.used,
      runningCount: this.running.size,
      reservedTokens: this.reserved,
      predictor: this.predictor,
      marginDeviations: this.margin.deviations,
    });
  }

  private start(running: Running, now: number): StartOrder {
    const {request, policy, orderedAs, deliveredWhole} = running.waiting;
    this.waiting.delete(request.id);
    this.running.set(request.id, running);
    this.predictor.add(running);
    this.used += running.promptTokens;
    this.reserved += reservationOf(running);
    this.startedWork.get(orderedAs)?.note(running.waiting.expectedCost, now);
    if (orderedAs === 'urgent') {
      const rate = policy.urgentAllowanceTokensPerSecond;
      const cost = running.waiting.expectedCost;
      this.allowance.charge(request.organisation, rate, cost, now);
    }
    const priority = computeEnginePriority({orderedAs, deliveredWhole});
    return {request, priority};
  }

  private charge(running: Running, cost: number, now: number): void {
    const {request, policy, orderedAs} = running.waiting;
    running.chargedTokens += cost;
    this.queue.charge(orderedAs, request.organisation, cost, request.weight);
    if (orderedAs === 'urgent') {
      const rate = policy.urgentAllowanceTokensPerSecond;
      this.allowance.charge(request.organisation, rate, cost, now);
    }
  }

  private noteProgress(): void {
    for (const running of this.running.values()) {
      const {generatedTokens, notedTokens} = running;
      this.lengths.recordProgress(
        running.waiting.request,
        notedTokens,
        generatedTokens,
      );
      running.notedTokens = generatedTokens;
    }
  }

  private refreshPrediction(now: number): void {
    if (now - this.predictedAt >= PREDICTION_REFRESH_MILLISECONDS) {
      this.predictedAt = now;
      this.noteProgress();
      this.predictor.reset(this.running.values());
    }
  }
}

/** Takes from a heap what is due at a time. */
function* popUntil(
  heap: Heap<Waiting>,
  dueAt: (waiting: Waiting) => number,
  now: number,
): Generator<Waiting> {
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

function reservationOf(running: Running): number {
  return running.promptTokens + (running.maximumTokens ?? 0);
}
