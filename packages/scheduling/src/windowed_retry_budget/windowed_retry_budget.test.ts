/**
 * Tests that retries stay within the budget of a sliding window, so that a
 * full outage does not multiply the load on a service.
 */
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {WindowedRetryBudget} from './windowed_retry_budget.js';

const RATIO = 0.25;
const WINDOW_MILLISECONDS = 1_000;

describe('WindowedRetryBudget', () => {
  let now: number;
  let reserve: number;
  let budget: WindowedRetryBudget;

  beforeEach(() => {
    now = 5_000;
    reserve = 0;
    budget = new WindowedRetryBudget({
      ratio: RATIO,
      windowMilliseconds: WINDOW_MILLISECONDS,
      reserve: () => reserve,
      now: () => now,
    });
  });

  function recordFirstAttempts(count: number): void {
    for (let index = 0; index < count; index += 1) {
      budget.recordFirstAttempt();
    }
  }

  function countAcquired(): number {
    let acquired = 0;
    while (budget.tryAcquire()) {
      acquired += 1;
    }
    return acquired;
  }

  it('starts with an empty budget', () => {
    assert.equal(budget.remaining, 0);
    assert.equal(budget.tryAcquire(), false);
  });

  it('allows retries up to the ratio of the first attempts', () => {
    recordFirstAttempts(10);
    assert.equal(countAcquired(), 2);
  });

  it('evicts first attempts that are older than the window', () => {
    recordFirstAttempts(8);
    now += WINDOW_MILLISECONDS;
    assert.equal(countAcquired(), 0);
  });

  it('counts a retry until the end of its window', () => {
    recordFirstAttempts(4);
    assert.equal(countAcquired(), 1);
    now += WINDOW_MILLISECONDS - 1;
    recordFirstAttempts(3);
    assert.equal(countAcquired(), 0);
    now += 1;
    recordFirstAttempts(1);
    assert.equal(countAcquired(), 1);
  });

  it('allows the reserve once per window', () => {
    reserve = 1;
    assert.equal(countAcquired(), 1);
    now += WINDOW_MILLISECONDS - 1;
    assert.equal(countAcquired(), 0);
    now += 1;
    assert.equal(countAcquired(), 1);
  });

  it('stays within the ratio in every window when every attempt fails', () => {
    const acquired: number[] = [];
    for (let index = 0; index < 5_000; index += 1) {
      now += 7;
      budget.recordFirstAttempt();
      if (budget.tryAcquire()) {
        acquired.push(now);
      }
    }
    for (const from of acquired) {
      const end = from + WINDOW_MILLISECONDS;
      const count = acquired.filter(at => at >= from && at < end).length;
      assert.ok(count <= Math.ceil((RATIO * WINDOW_MILLISECONDS) / 7));
    }
    assert.ok(acquired.length > 1_200);
  });
});
