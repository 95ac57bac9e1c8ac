/**
 * The order in which queued requests start.
 */
import {ClassQueue, type QueuedRequest} from '../_lib/class_queue.js';
import {REQUEST_CLASSES, type RequestClassName} from '../request/request.js';

export type {QueuedRequest} from '../_lib/class_queue.js';

/**
 * Weighted fair queue that orders requests by class, then by the work that
 * their organisations have received.
 *
 * Within a class each organisation has a virtual counter: its work divided by
 * its weight. The organisation with the lowest counter is served first. When
 * an organisation becomes active again, its counter is raised to that of the
 * last one served, so that idle time earns no credit. Classes are served in
 * order of urgency, except that the lower classes together receive a minimum
 * share of the work while they have queued requests. A request that must start
 * now to meet its deadline is served first within its class, unless its
 * organisation exceeds its share.
 *
 * Every operation is O(log n).
 */
export class FairQueue {
  private readonly classes = new Map<RequestClassName, ClassQueue>(
    REQUEST_CLASSES.map(name => [name, new ClassQueue()]),
  );
  /** Cost owed to the lower classes while they have queued requests. */
  private lowerClassCredit = 0;

  /**
   * @param minimumShare - Minimum share of the work for lower classes that have
   *     queued requests
   */
  constructor(private minimumShare: number) {}

  /** Number of queued requests. */
  get size(): number {
    return this.sum(queue => queue.size);
  }

  /**
   * Sets the minimum share of the work for lower classes that have queued
   * requests.
   */
  setMinimumShare(minimumShare: number): void {
    this.minimumShare = minimumShare;
  }

  /**
   * Estimates the cost that would be served before a new request.
   *
   * Within its class that is at most the queued cost of its own organisation,
   * multiplied by the number of shares that are served concurrently.
   *
   * @param requestClass - Scheduling class of the request
   * @param organisation - Its organisation
   * @param weight - Weight of the organisation
   * @returns Cost, in generated tokens
   */
  costAhead(
    requestClass: RequestClassName,
    organisation: string,
    weight: number,
  ): number {
    let cost = 0;
    for (const name of REQUEST_CLASSES) {
      if (name === requestClass) {
        break;
      }
      cost += this.queueOf(name).cost;
    }
    return cost + this.queueOf(requestClass).costAhead(organisation, weight);
  }

  /**
   * Estimates the cost that is served before a queued request.
   *
   * @param queued - The request
   * @returns Cost, in generated tokens
   */
  costAheadOf(queued: QueuedRequest): number {
    let cost = 0;
    for (const name of REQUEST_CLASSES) {
      if (name === queued.schedulingClass) {
        break;
      }
      cost += this.queueOf(name).cost;
    }
    return cost + this.queueOf(queued.schedulingClass).costAheadOf(queued);
  }

  /** Returns the number of queued requests of an organisation. */
  countWaiting(organisation: string): number {
    return this.sum(queue => queue.countOf(organisation));
  }

  /** Adds a request to the queue of its class. */
  enqueue(queued: QueuedRequest): void {
    this.queueOf(queued.schedulingClass).enqueue(queued);
  }

  /**
   * Returns the request that should start next, without removing it.
   *
   * @param now - Milliseconds since the epoch
   * @param isWaiting - False for requests that have been withdrawn
   * @returns The request; undefined when the queue is empty
   */
  peek(
    now: number,
    isWaiting: (queued: QueuedRequest) => boolean,
  ): QueuedRequest | undefined {
    const name = this.chooseClass(now, isWaiting);
    return name === undefined
      ? undefined
      : this.queueOf(name).peek(now, isWaiting);
  }

  /**
   * Returns the urgent request that should start next, without removing it.
   *
   * @param now - Milliseconds since the epoch
   * @param isWaiting - False for requests that have been withdrawn
   * @returns The request; undefined when no urgent one is queued
   */
  peekUrgent(
    now: number,
    isWaiting: (queued: QueuedRequest) => boolean,
  ): QueuedRequest | undefined {
    return this.queueOf('urgent').peek(now, isWaiting);
  }

  /**
   * Removes a request that {@link peek} or {@link peekUrgent} returned, and
   * charges its expected cost.
   */
  dequeue(queued: QueuedRequest): void {
    const isUrgent = queued.schedulingClass === 'urgent';
    if (isUrgent && this.hasLowerClassRequests()) {
      this.lowerClassCredit += queued.expectedCost * this.minimumShare;
    } else {
      const received = queued.expectedCost * (1 - this.minimumShare);
      this.lowerClassCredit = Math.max(0, this.lowerClassCredit - received);
    }
    this.queueOf(queued.schedulingClass).dequeue(queued);
  }

  /** Removes a request that does not start. */
  withdraw(queued: QueuedRequest): void {
    this.queueOf(queued.schedulingClass).withdraw(queued);
  }

  /**
   * Charges an organisation for work that exceeds the expected cost.
   *
   * @param schedulingClass - Scheduling class of the work
   * @param organisation - The organisation
   * @param cost - Cost, in generated tokens; negative to refund
   * @param weight - Weight of the organisation
   */
  charge(
    schedulingClass: RequestClassName,
    organisation: string,
    cost: number,
    weight: number,
  ): void {
    this.queueOf(schedulingClass).charge(organisation, cost, weight);
  }

  private chooseClass(
    now: number,
    isWaiting: (queued: QueuedRequest) => boolean,
  ): RequestClassName | undefined {
    const names = REQUEST_CLASSES.filter(
      name => this.queueOf(name).peek(now, isWaiting) !== undefined,
    );
    const [first, second, third] = names;
    if (first !== 'urgent' || second === undefined) {
      return this.preferDue(now, isWaiting, first, second);
    }
    const lower = this.preferDue(now, isWaiting, second, third);
    const candidate = lower && this.queueOf(lower).peek(now, isWaiting);
    const hasCredit =
      candidate !== undefined &&
      this.lowerClassCredit >= candidate.expectedCost;
    return hasCredit ? lower : first;
  }

  /**
   * Prefers the second class when its next request must start now to meet its
   * deadline; deferrable work that is due thus starts before standard work.
   */
  private preferDue(
    now: number,
    isWaiting: (queued: QueuedRequest) => boolean,
    first: RequestClassName | undefined,
    second: RequestClassName | undefined,
  ): RequestClassName | undefined {
    if (second === undefined) {
      return first;
    }
    const next = this.queueOf(second).peek(now, isWaiting);
    return next !== undefined && next.latestStart <= now ? second : first;
  }

  private hasLowerClassRequests(): boolean {
    return REQUEST_CLASSES.some(
      name => name !== 'urgent' && this.queueOf(name).size > 0,
    );
  }

  private queueOf(name: RequestClassName): ClassQueue {
    return this.classes.get(name) as ClassQueue;
  }

  private sum(measure: (queue: ClassQueue) => number): number {
    let total = 0;
    for (const queue of this.classes.values()) {
      total += measure(queue);
    }
    return total;
  }
}
