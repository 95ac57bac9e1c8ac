/**
 * Tests of the gateways' parts in second sends.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {RetryBudgets} from './retry_budgets.js';

const LIMIT = {ratio: 0.2, slack: 50};

/** Second sends of one gateway that wants one for each request. */
function countTaken(budgets: RetryBudgets, requests: number): number {
  const budget = budgets.find('desk');
  let taken = 0;
  for (let request = 0; request < requests; request += 1) {
    budget.noteFirstAttempt();
    taken += budget.tryTake() ? 1 : 0;
  }
  return taken;
}

describe('RetryBudgets', () => {
  for (const gateways of [1, 4, 29]) {
    it(`keeps ${gateways} gateways together within the limit`, () => {
      const requests = 300;
      let taken = 0;
      for (let index = 0; index < gateways; index += 1) {
        const budgets = new RetryBudgets(LIMIT);
        budgets.setGateways(gateways);
        taken += countTaken(budgets, requests / gateways);
      }
      assert.ok(taken <= LIMIT.ratio * requests + LIMIT.slack, `${taken}`);
      assert.ok(taken >= (LIMIT.ratio * requests) / 2, `${taken}`);
    });
  }

  it('loses what it held when more gateways are seen', () => {
    const budgets = new RetryBudgets(LIMIT);
    budgets.find('desk');
    budgets.setGateways(25);
    assert.ok(countTaken(budgets, 3) <= 2);
  });

  it('counts services apart', () => {
    const budgets = new RetryBudgets({ratio: 0, slack: 5});
    assert.equal(countTaken(budgets, 10), 3);
    assert.equal(budgets.find('text').tryTake(), true);
  });
});
