/**
 * Waiting requests that the same engines may run.
 */
import {FairQueue, type QueuedRequest} from '../fair_queue/fair_queue.js';
import {REQUEST_CLASSES, type RequestClassName} from '../request/request.js';
import {
  computeCost,
  hasReceivedLess,
  toRequestClass,
  type AdmissionRequest,
} from '../admission_request/admission_request.js';

/**
 * Minimum share of the work for less urgent requests while urgent ones wait.
 */
const MINIMUM_SHARE = 0.05;

/**
 * Time before its latest start from which a request goes before others of its
 * priority; room becomes free at irregular moments.
 */
const DUE_MILLISECONDS = 300;

/** The request that a lane would start next. */
export interface LaneHead {
  readonly request: AdmissionRequest;
  readonly schedulingClass: RequestClassName;
  readonly isLate: boolean;
  /** True if it may use the reserves of the engines. */
  readonly usesReserves: boolean;
}

interface WaitingRequest {
  readonly request: AdmissionRequest;
  queued: QueuedRequest;
  isLate: boolean;
}

/**
 * Orders the waiting requests that the same engines may run: those that can
 * still meet their target latency in one fair queue, those that have missed it
 * in another one that gives way to equals of the first.
 */
export class AdmissionLane {
  private readonly onTime = new FairQueue(MINIMUM_SHARE);
  private readonly late = new FairQueue(MINIMUM_SHARE);
  private readonly waiting = new Map<string, WaitingRequest>();
  /** Time since which no engine may run the requests, if there is none. */
  withoutEnginesSince: number | undefined;

  /**
   * @param work - Recent work by organisation, in tokens
   */
  constructor(work: ReadonlyMap<string, number>) {
    work.forEach((tokens, organisation) => this.charge(organisation, tokens));
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.waiting.size;
  }

  /** Returns the waiting requests. */
  list(): AdmissionRequest[] {
    return [...this.waiting.values()].map(({request}) => request);
  }

  /** Adds a request. */
  add(request: AdmissionRequest, now: number): void {
    const isLate = computeLatestStart(request) < now;
    const queued = createQueuedRequest(request, isLate);
    this.waiting.set(request.id, {request, queued, isLate});
    this.queueOf(isLate).enqueue(queued);
  }

  /** Removes a request that does not start. */
  withdraw(id: string): void {
    const waiting = this.waiting.get(id);
    if (waiting !== undefined) {
      this.waiting.delete(id);
      this.queueOf(waiting.isLate).withdraw(waiting.queued);
    }
  }

  /** Removes a request that starts, and charges its organisation. */
  start({id}: Pick<AdmissionRequest, 'id'>): void {
    const waiting = this.waiting.get(id);
    if (waiting === undefined) {
      return;
    }
    this.waiting.delete(id);
    const {queued, request, isLate} = waiting;
    this.queueOf(isLate).dequeue(queued);
    for (const queue of [this.onTime, this.late]) {
      for (const name of REQUEST_CLASSES) {
        // The queue has charged the class from which it took the request.
        if (queue !== this.queueOf(isLate) || name !== queued.schedulingClass) {
          queue.charge(
            name,
            request.organisation,
            queued.expectedCost,
            request.weight,
          );
        }
      }
    }
  }

  /** Charges an organisation for work that it received elsewhere. */
  charge(organisation: string, tokens: number): void {
    for (const queue of [this.onTime, this.late]) {
      REQUEST_CLASSES.forEach(name =>
        queue.charge(name, organisation, tokens, 1),
      );
    }
  }

  /** Moves the requests that have missed their target latency to the back. */
  moveLate(now: number): void {
    for (const waiting of this.waiting.values()) {
      if (!waiting.isLate && computeLatestStart(waiting.request) < now) {
        this.onTime.withdraw(waiting.queued);
        waiting.isLate = true;
        waiting.queued = createQueuedRequest(waiting.request, true);
        this.late.enqueue(waiting.queued);
      }
    }
  }

  /** Returns the expected work that starts before a waiting request. */
  computeCostAhead(id: string): number {
    const waiting = this.waiting.get(id);
    if (waiting === undefined) {
      return 0;
    }
    const {request, queued, isLate} = waiting;
    const cost = this.queueOf(isLate).costAheadOf(queued);
    return isLate ? cost + this.computeOnTimeCost(request) : cost;
  }

  /** Returns the expected work that starts before a new request. */
  computeCostAheadOfNew(request: AdmissionRequest): number {
    return this.computeOnTimeCost(request);
  }

  /**
   * Returns the request that starts next.
   *
   * Within a priority, a timely request goes before a late one, unless its
   * organisation has received much more: otherwise the new requests of an
   * organisation that floods would go before the late ones of all others.
   *
   * @param now - Monotonic time, in milliseconds
   * @param received - Recent work by organisation, in tokens
   */
  peek(
    now: number,
    received: ReadonlyMap<string, number>,
  ): LaneHead | undefined {
    const onTime = this.toHead(
      this.onTime.peek(now, () => true),
      now,
    );
    const late = this.toHead(
      this.late.peek(now, () => true),
      now,
    );
    if (onTime === undefined || late === undefined) {
      return onTime ?? late;
    }
    const difference = indexOfClass(late) - indexOfClass(onTime);
    const goesFirst =
      difference < 0 ||
      (difference === 0 &&
        hasReceivedLess(late.request, onTime.request, received));
    return goesFirst ? late : onTime;
  }

  /** Returns the urgent request that starts next. */
  peekUrgent(now: number): LaneHead | undefined {
    return this.toHead(
      this.onTime.peekUrgent(now, () => true) ??
        this.late.peekUrgent(now, () => true),
      now,
    );
  }

  private toHead(
    queued: QueuedRequest | undefined,
    now: number,
  ): LaneHead | undefined {
    const waiting = queued && this.waiting.get(queued.request.id);
    if (waiting === undefined) {
      return undefined;
    }
    const {request, isLate} = waiting;
    const {schedulingClass} = waiting.queued;
    // The fair queue puts less urgent work before urgent work only to give it
    // its minimum share, for which it needs the room of urgent work.
    const takesMinimumShare =
      schedulingClass !== 'urgent' &&
      this.onTime.peekUrgent(0, () => true) !== undefined;
    // Estimates count an output as a whole from its start, so that a request that
    // would miss its target latency rarely exceeds the memory in the reserves.
    const isDue =
      !isLate && computeLatestStart(request) - DUE_MILLISECONDS <= now;
    const usesReserves =
      schedulingClass === 'urgent' || takesMinimumShare || isDue;
    return {request, schedulingClass, isLate, usesReserves};
  }

  private computeOnTimeCost({
    priority,
    organisation,
    weight,
  }: AdmissionRequest): number {
    return this.onTime.costAhead(
      toRequestClass(priority),
      organisation,
      weight,
    );
  }

  private queueOf(isLate: boolean): FairQueue {
    return isLate ? this.late : this.onTime;
  }
}

function indexOfClass({schedulingClass}: LaneHead): number {
  return REQUEST_CLASSES.indexOf(schedulingClass);
}

/** Returns the time by which a request must start to meet its target latency. */
function computeLatestStart(request: AdmissionRequest): number {
  const {arrivedAt, targetLatencyMilliseconds, prefillMilliseconds} = request;
  return arrivedAt + targetLatencyMilliseconds - prefillMilliseconds;
}

function createQueuedRequest(
  request: AdmissionRequest,
  isLate: boolean,
): QueuedRequest {
  const requestClass = toRequestClass(request.priority);
  const latestStart = isLate
    ? request.expiresAt - request.runMilliseconds
    : computeLatestStart(request);
  return {
    request: {
      id: request.id,
      organisation: request.organisation,
      requestClass,
      model: request.lane,
      promptTokens: request.promptTokens,
      deadline: request.expiresAt,
      weight: request.weight,
      suspectedDeaths: 0,
    },
    schedulingClass: requestClass,
    expectedCost: computeCost(request),
    enqueuedAt: request.arrivedAt,
    latestStart: latestStart - DUE_MILLISECONDS,
  };
}
