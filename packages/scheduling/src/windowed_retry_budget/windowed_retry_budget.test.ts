/**
 * Tests of the limit on retries in a sliding window.
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

  function noteFirstAttempts(count: number): void {
    for (let index = 0; index < count; index += 1) {
      budget.noteFirstAttempt();
    }
  }

  function countTaken(): number {
    let taken = 0;
    while (budget.tryTake()) {
      taken += 1;
    }
    return taken;
  }

  it('holds nothing at the start', () => {
    assert.equal(budget.left, 0);
    assert.equal(budget.tryTake(), false);
  });

  it('allows a share of the first attempts', () => {
    noteFirstAttempts(10);
    assert.equal(countTaken(), 2);
  });

  it('forgets first attempts with the window', () => {
    noteFirstAttempts(8);
    now += WINDOW_MILLISECONDS;
    assert.equal(countTaken(), 0);
  });

  it('remembers retries as long as the window', () => {
    noteFirstAttempts(4);
    assert.equal(countTaken(), 1);
    now += WINDOW_MILLISECONDS - 1;
    noteFirstAttempts(3);
    assert.equal(countTaken(), 0);
    now += 1;
    noteFirstAttempts(1);
    assert.equal(countTaken(), 1);
  });

  it('allows the reserve once in a window', () => {
    reserve = 1;
    assert.equal(countTaken(), 1);
    now += WINDOW_MILLISECONDS - 1;
    assert.equal(countTaken(), 0);
    now += 1;
    assert.equal(countTaken(), 1);
  });

  it('stays within the share in every window when all fails', () => {
    const taken: number[] = [];
    for (let index = 0; index < 5_000; index += 1) {
      now += 7;
      budget.noteFirstAttempt();
      if (budget.tryTake()) {
        taken.push(now);
      }
    }
    for (const from of taken) {
      const end = from + WINDOW_MILLISECONDS;
      const count = taken.filter(at => at >= from && at < end).length;
      assert.ok(count <= Math.ceil((RATIO * WINDOW_MILLISECONDS) / 7));
    }
    assert.ok(taken.length > 1_200);
  });
});
