/**
 * The queued requests of one class.
 */
import type {GenerationRequest, RequestClassName} from '../request/request.js';
import {Heap} from './heap.js';

/**
 * Number of requests by which an organisation may exceed its share when one of
 * its requests is due.
 */
const DUE_SLACK_REQUESTS = 2;

/** A request that waits in a queue, with its scheduling data. */
export interface QueuedRequest {
  readonly request: GenerationRequest;
  /** Class in whose order it starts; may differ from the requested class. */
  readonly schedulingClass: RequestClassName;
  /** Expected cost, in generated tokens. */
  readonly expectedCost: number;
  /** Milliseconds since the epoch. */
  readonly enqueuedAt: number;
  /**
   * Milliseconds since the epoch by which it should start to meet its deadline.
   */
  readonly latestStart: number;
}

/** The queued requests and the virtual counter of one organisation. */
interface OrganisationQueue {
  readonly organisation: string;
  /** Its requests in order of arrival; may still hold removed ones. */
  readonly requests: Heap<QueuedRequest>;
  /**
   * Charged cost divided by the weight of the organisation; raised to the
   * baseline when its queue was empty.
   */
  virtualCounter: number;
  /** Version of its valid heap entry. */
  version: number;
}

/** Totals of the queued requests of one organisation. */
interface OrganisationTotals {
  count: number;
  cost: number;
  /** Cost enqueued since its queue was last empty. */
  enqueuedCost: number;
}

/** An entry of the heap of organisations; stale when the versions differ. */
interface OrderEntry {
  readonly queue: OrganisationQueue;
  readonly virtualCounter: number;
  readonly version: number;
}

/**
 * Weighted fair queue over the organisations of one class.
 *
 * The organisation with the lowest virtual counter is served first. A heap
 * entry whose counter has changed since it was pushed has an outdated version
 * and is skipped, so that every operation is O(log n).
 */
export class ClassQueue {
  private readonly queues = new Map<string, OrganisationQueue>();
  private readonly totals = new Map<string, OrganisationTotals>();
  private readonly byCounter = new Heap<OrderEntry>(
    (left, right) => left.virtualCounter < right.virtualCounter,
  );
  private readonly byLatestStart = new Heap<QueuedRequest>(
    (left, right) => left.latestStart < right.latestStart,
  );
  /** Started and withdrawn requests, which the heaps drop lazily. */
  private readonly removed = new WeakSet<QueuedRequest>();
  /** Cost that its organisation had enqueued before each request. */
  private readonly enqueuedCostBefore = new WeakMap<QueuedRequest, number>();
  /** Lower bound of the virtual counter of an organisation that enqueues. */
  private baselineCounter = 0;
  /** Sum of the weights of the organisations with queued requests. */
  private waitingWeight = 0;
  /** Number of queued requests. */
  size = 0;
  /** Expected cost of the queued requests, in generated tokens. */
  cost = 0;

  /** Returns the number of queued requests of an organisation. */
  countOf(organisation: string): number {
    return this.totals.get(organisation)?.count ?? 0;
  }

  /** Estimates the cost that is served before a new request. */
  costAhead(organisation: string, weight: number): number {
    const own = this.totals.get(organisation);
    const others = this.waitingWeight - (own === undefined ? 0 : weight);
    const fairShareCost = ((own?.cost ?? 0) * (others + weight)) / weight;
    // Each queued organisation may be served once before a new one.
    const oneTurnCost =
      own === undefined ? this.cost / (this.totals.size + 1) : 0;
    return Math.min(this.cost, Math.max(fairShareCost, oneTurnCost));
  }

  /**
   * Estimates the cost that is served before a queued request.
   *
   * Assumes that the requests of one organisation are served first in, first
   * out, although one that is due may start earlier.
   */
  costAheadOf(queued: QueuedRequest): number {
    const {organisation, weight} = queued.request;
    const totals = this.totals.get(organisation);
    if (totals === undefined) {
      return 0;
    }
    const removedCost = totals.enqueuedCost - totals.cost;
    const own = Math.max(
      0,
      (this.enqueuedCostBefore.get(queued) ?? 0) - removedCost,
    );
    return Math.min(this.cost, (own * this.waitingWeight) / weight);
  }

  /**
   * Adds a request.
   *
   * The virtual counter of an organisation without queued requests is raised
   * to the baseline, so that idle time earns no credit.
   */
  enqueue(queued: QueuedRequest): void {
    const {organisation} = queued.request;
    const queue = this.findOrCreate(organisation);
    if (this.countOf(organisation) === 0) {
      queue.virtualCounter = Math.max(
        queue.virtualCounter,
        this.baselineCounter,
      );
      this.pushEntry(queue);
    }
    queue.requests.push(queued);
    this.byLatestStart.push(queued);
    const before = this.totals.get(organisation)?.enqueuedCost ?? 0;
    this.enqueuedCostBefore.set(queued, before);
    this.updateTotals(queued, 1);
  }

  /**
   * Returns the request that should start next, without removing it.
   *
   * @param now - Milliseconds since the epoch
   * @param isWaiting - Returns false for withdrawn requests
   */
  peek(
    now: number,
    isWaiting: (queued: QueuedRequest) => boolean,
  ): QueuedRequest | undefined {
    const isQueued = (queued: QueuedRequest) =>
      !this.removed.has(queued) && isWaiting(queued);
    const due = peekQueued(this.byLatestStart, isQueued);
    const isDue = due !== undefined && due.latestStart <= now;
    return isDue && this.isWithinShare(due) ? due : this.peekInOrder(isQueued);
  }

  /**
   * Returns whether a request that is due may start out of order.
   *
   * Without this limit, an organisation could use short deadlines to get ahead
   * of organisations that have received less.
   */
  private isWithinShare(queued: QueuedRequest): boolean {
    const {organisation, weight} = queued.request;
    const queue = this.findOrCreate(organisation);
    const slack = (DUE_SLACK_REQUESTS * queued.expectedCost) / weight;
    return queue.virtualCounter <= this.baselineCounter + slack;
  }

  /** Removes a request that starts, and charges its expected cost. */
  dequeue(queued: QueuedRequest): void {
    this.removed.add(queued);
    this.updateTotals(queued, -1);
    const {organisation, weight} = queued.request;
    const queue = this.findOrCreate(organisation);
    this.baselineCounter = Math.max(
      this.baselineCounter,
      Math.min(queue.virtualCounter, this.lowestCounter()),
    );
    queue.virtualCounter += queued.expectedCost / weight;
    this.pushEntry(queue);
  }

  /** Removes a request that does not start. */
  withdraw(queued: QueuedRequest): void {
    if (!this.removed.has(queued)) {
      this.removed.add(queued);
      this.updateTotals(queued, -1);
    }
  }

  /** Charges an organisation for additional cost; negative to refund. */
  charge(organisation: string, cost: number, weight: number): void {
    const queue = this.findOrCreate(organisation);
    queue.virtualCounter += cost / weight;
    if (this.countOf(organisation) > 0) {
      this.pushEntry(queue);
    }
  }

  private peekInOrder(
    isQueued: (queued: QueuedRequest) => boolean,
  ): QueuedRequest | undefined {
    for (;;) {
      const entry = this.byCounter.peek();
      if (entry === undefined) {
        return undefined;
      }
      const {queue} = entry;
      const first =
        entry.version === queue.version
          ? peekQueued(queue.requests, isQueued)
          : undefined;
      if (first !== undefined) {
        return first;
      }
      this.byCounter.pop();
      this.evictIdle(queue);
    }
  }

  /**
   * Evicts an organisation without queued requests whose counter does not
   * exceed the baseline. A queue that is created later starts at the baseline,
   * so the eviction does not change the order.
   */
  private evictIdle(queue: OrganisationQueue): void {
    const isIdle = this.countOf(queue.organisation) === 0;
    if (isIdle && queue.virtualCounter <= this.baselineCounter) {
      this.queues.delete(queue.organisation);
    }
  }

  private lowestCounter(): number {
    return this.byCounter.peek()?.virtualCounter ?? Number.POSITIVE_INFINITY;
  }

  private pushEntry(queue: OrganisationQueue): void {
    queue.version += 1;
    const {virtualCounter, version} = queue;
    this.byCounter.push({queue, virtualCounter, version});
  }

  private updateTotals(queued: QueuedRequest, sign: 1 | -1): void {
    const {organisation, weight} = queued.request;
    const totals = this.totals.get(organisation) ?? {
      count: 0,
      cost: 0,
      enqueuedCost: 0,
    };
    totals.count += sign;
    totals.cost += sign * queued.expectedCost;
    totals.enqueuedCost += sign === 1 ? queued.expectedCost : 0;
    if (totals.count === 0) {
      this.totals.delete(organisation);
      this.waitingWeight -= weight;
    } else if (totals.count === 1 && sign === 1) {
      this.totals.set(organisation, totals);
      this.waitingWeight += weight;
    }
    this.size += sign;
    this.cost = Math.max(0, this.cost + sign * queued.expectedCost);
  }

  private findOrCreate(organisation: string): OrganisationQueue {
    const existing = this.queues.get(organisation);
    if (existing !== undefined) {
      return existing;
    }
    const queue: OrganisationQueue = {
      organisation,
      requests: new Heap((left, right) => left.enqueuedAt < right.enqueuedAt),
      virtualCounter: this.baselineCounter,
      version: 0,
    };
    this.queues.set(organisation, queue);
    return queue;
  }
}

/** Returns the first queued item of a heap; drops removed items before it. */
function peekQueued(
  heap: Heap<QueuedRequest>,
  isQueued: (queued: QueuedRequest) => boolean,
): QueuedRequest | undefined {
  let first = heap.peek();
  while (first !== undefined && !isQueued(first)) {
    heap.pop();
    first = heap.peek();
  }
  return first;
}
