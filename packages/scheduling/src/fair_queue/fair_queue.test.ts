/**
 * Tests of the order in which queued requests start: shares by weight and
 * class, due requests, charges and withdrawals.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {RequestClassName} from '../request/request.js';
import {FairQueue, type QueuedRequest} from './fair_queue.js';

let createdCount = 0;

function createQueuedRequest(
  organisation: string,
  schedulingClass: RequestClassName,
  overrides: Partial<QueuedRequest> & {weight?: number} = {},
): QueuedRequest {
  createdCount += 1;
  return {
    request: {
      id: `r${createdCount}`,
      organisation,
      requestClass: schedulingClass,
      model: 'm',
      promptTokens: 1,
      deadline: 1e9,
      weight: overrides.weight ?? 1,
      suspectedDeaths: 0,
    },
    schedulingClass,
    expectedCost: 100,
    enqueuedAt: createdCount,
    latestStart: 1e9,
    ...overrides,
  };
}

function dequeueMany(
  queue: FairQueue,
  count: number,
  now = 0,
): QueuedRequest[] {
  const dequeued: QueuedRequest[] = [];
  for (let index = 0; index < count; index += 1) {
    const next = queue.peek(now, () => true);
    assert.ok(next !== undefined);
    queue.dequeue(next);
    dequeued.push(next);
  }
  return dequeued;
}

function countOf(dequeued: readonly QueuedRequest[], organisation: string) {
  return dequeued.filter(({request}) => request.organisation === organisation)
    .length;
}

describe('FairQueue', () => {
  it('shares work by weight regardless of the number of requests', () => {
    const queue = new FairQueue(0.2);
    for (let index = 0; index < 400; index += 1) {
      queue.enqueue(createQueuedRequest('greedy', 'standard'));
    }
    for (let index = 0; index < 100; index += 1) {
      queue.enqueue(createQueuedRequest('heavy', 'standard', {weight: 2}));
    }
    const dequeued = dequeueMany(queue, 90);
    assert.equal(countOf(dequeued, 'heavy'), 60);
    assert.equal(countOf(dequeued, 'greedy'), 30);
  });

  it('gives an organisation no credit for idle time', () => {
    const queue = new FairQueue(0.2);
    for (let index = 0; index < 100; index += 1) {
      queue.enqueue(createQueuedRequest('busy', 'standard'));
    }
    dequeueMany(queue, 50);
    for (let index = 0; index < 50; index += 1) {
      queue.enqueue(createQueuedRequest('late', 'standard'));
    }
    const dequeued = dequeueMany(queue, 20);
    assert.ok(Math.abs(countOf(dequeued, 'late') - 10) <= 1);
  });

  it('serves urgent requests first but leaves others a minimum share', () => {
    const queue = new FairQueue(0.2);
    for (let index = 0; index < 200; index += 1) {
      queue.enqueue(createQueuedRequest('counter', 'urgent'));
      queue.enqueue(createQueuedRequest('catalogue', 'deferrable'));
    }
    const dequeued = dequeueMany(queue, 100);
    assert.equal(dequeued[0]?.schedulingClass, 'urgent');
    const share = countOf(dequeued, 'catalogue') / dequeued.length;
    assert.ok(share >= 0.15 && share <= 0.25, `share ${share}`);
  });

  it('serves a due request first unless it exceeds its share', () => {
    const queue = new FairQueue(0.2);
    queue.enqueue(createQueuedRequest('one', 'standard'));
    const due = createQueuedRequest('two', 'standard', {latestStart: 5});
    queue.enqueue(due);
    assert.equal(
      queue.peek(10, () => true),
      due,
    );
    queue.charge('standard', 'two', 10_000, 1);
    const next = queue.peek(10, () => true);
    assert.equal(next?.request.organisation, 'one');
  });

  it('serves an organisation later after an additional charge', () => {
    const queue = new FairQueue(0.2);
    for (let index = 0; index < 20; index += 1) {
      queue.enqueue(createQueuedRequest('one', 'standard'));
      queue.enqueue(createQueuedRequest('two', 'standard'));
    }
    queue.charge('standard', 'one', 1_000, 1);
    assert.equal(countOf(dequeueMany(queue, 10), 'two'), 10);
  });

  it('skips a withdrawn request', () => {
    const queue = new FairQueue(0.2);
    const withdrawn = createQueuedRequest('one', 'standard');
    const remaining = createQueuedRequest('one', 'standard');
    queue.enqueue(withdrawn);
    queue.enqueue(remaining);
    queue.withdraw(withdrawn);
    assert.equal(queue.size, 1);
    assert.equal(
      queue.peek(0, candidate => candidate !== withdrawn),
      remaining,
    );
  });
});
