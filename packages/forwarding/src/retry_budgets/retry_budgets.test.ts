/**
 * Tests of the gateways' parts in retries.
 */
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {RetryBudgets} from './retry_budgets.js';

const LIMIT = {ratio: 0.2, slack: 50, windowMilliseconds: 10_000};

describe('RetryBudgets', () => {
  let now: number;

  beforeEach(() => {
    now = 0;
  });

  function createBudgets(limit = LIMIT): RetryBudgets {
    return new RetryBudgets({...limit, now: () => now});
  }

  /** Retries of one gateway that wants one for each request. */
  function countTaken(budgets: RetryBudgets, requests: number): number {
    const budget = budgets.find('desk');
    let taken = 0;
    for (let request = 0; request < requests; request += 1) {
      budget.recordFirstAttempt();
      taken += budget.tryAcquire() ? 1 : 0;
    }
    return taken;
  }

  for (const gateways of [1, 4, 29]) {
    it(`keeps ${gateways} gateways together within the limit`, () => {
      const requests = 300;
      const fleet = Array.from({length: gateways}, () => createBudgets());
      now += LIMIT.windowMilliseconds;
      const taken = fleet.map(budgets => {
        budgets.setGateways(gateways);
        return countTaken(budgets, requests / gateways);
      });
      const sum = taken.reduce((total, one) => total + one, 0);
      assert.ok(sum <= LIMIT.ratio * requests + LIMIT.slack, `${sum}`);
      assert.ok(sum >= (LIMIT.ratio * requests) / 2, `${sum}`);
    });
  }

  it('keeps processes that start within a window to the ratio', () => {
    let taken = 0;
    for (let start = 0; start < 1_000; start += 1) {
      const budgets = createBudgets();
      budgets.setGateways(1);
      taken += countTaken(budgets, 4);
    }
    assert.equal(taken, 0);
  });

  it('holds no reserve before the other gateways are known', () => {
    const budgets = createBudgets();
    now += LIMIT.windowMilliseconds;
    assert.equal(budgets.find('desk').tryAcquire(), false);
    budgets.setGateways(4);
    assert.equal(budgets.find('desk').tryAcquire(), true);
  });

  it('holds no reserve where the slack does not cover the fleet', () => {
    const budgets = createBudgets({...LIMIT, slack: 20});
    now += LIMIT.windowMilliseconds;
    budgets.setGateways(11);
    assert.equal(budgets.find('desk').tryAcquire(), false);
  });

  it('counts services apart', () => {
    const budgets = createBudgets();
    assert.equal(countTaken(budgets, 10), 2);
    assert.equal(budgets.find('text').tryAcquire(), false);
  });
});
