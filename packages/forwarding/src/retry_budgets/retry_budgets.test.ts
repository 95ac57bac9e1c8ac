/**
 * Tests the share of each gateway in the common retry limit. Reserves of many
 * gateways, or of processes that restart within a window, must not add up to
 * more retries than the limit allows.
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

  /** Counts the retries of a gateway that attempts one for each request. */
  function countRetries(budgets: RetryBudgets, requests: number): number {
    const budget = budgets.find('desk');
    let retries = 0;
    for (let request = 0; request < requests; request += 1) {
      budget.recordFirstAttempt();
      retries += budget.tryAcquire() ? 1 : 0;
    }
    return retries;
  }

  for (const gateways of [1, 4, 29]) {
    it(`limits the total retries of ${gateways} gateways`, () => {
      const requests = 300;
      const budgetsByGateway = Array.from({length: gateways}, () =>
        createBudgets(),
      );
      now += LIMIT.windowMilliseconds;
      const retries = budgetsByGateway.map(budgets => {
        budgets.setGatewayCount(gateways);
        return countRetries(budgets, requests / gateways);
      });
      const sum = retries.reduce((total, count) => total + count, 0);
      assert.ok(sum <= LIMIT.ratio * requests + LIMIT.slack, `${sum}`);
      assert.ok(sum >= (LIMIT.ratio * requests) / 2, `${sum}`);
    });
  }

  it('limits processes younger than a window to the ratio', () => {
    let retries = 0;
    for (let start = 0; start < 1_000; start += 1) {
      const budgets = createBudgets();
      budgets.setGatewayCount(1);
      retries += countRetries(budgets, 4);
    }
    assert.equal(retries, 0);
  });

  it('grants no reserve before the number of gateways is known', () => {
    const budgets = createBudgets();
    now += LIMIT.windowMilliseconds;
    assert.equal(budgets.find('desk').tryAcquire(), false);
    budgets.setGatewayCount(4);
    assert.equal(budgets.find('desk').tryAcquire(), true);
  });

  it('grants no reserve if the slack does not cover all gateways', () => {
    const budgets = createBudgets({...LIMIT, slack: 20});
    now += LIMIT.windowMilliseconds;
    budgets.setGatewayCount(11);
    assert.equal(budgets.find('desk').tryAcquire(), false);
  });

  it('keeps a separate budget for each service', () => {
    const budgets = createBudgets();
    assert.equal(countRetries(budgets, 10), 2);
    assert.equal(budgets.find('text').tryAcquire(), false);
  });
});
