/**
 * Tests that retries do not multiply the load during an outage, and that no
 * request is executed twice unless this is safe.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {decideRetry} from '../decide_retry/decide_retry.js';
import {RetryBudget} from './retry_budget.js';

describe('RetryBudget', () => {
  it('limits retries to the ratio when every attempt fails', () => {
    const budget = new RetryBudget(0.1);
    let retries = 0;
    for (let index = 0; index < 10_000; index += 1) {
      budget.recordFirstAttempt();
      retries += budget.tryAcquire() ? 1 : 0;
    }
    assert.ok(retries <= 1_010, `${retries} retries`);
  });
});

describe('decideRetry', () => {
  const attempt = {
    notRun: false,
    idempotent: true,
    delivered: false,
    remainingMilliseconds: 100,
    untriedEndpoints: 1,
  };

  it('allows an idempotent request while nothing has been delivered', () => {
    assert.equal(decideRetry(attempt), true);
    assert.equal(decideRetry({...attempt, delivered: true}), false);
  });

  it('allows a non-idempotent request only when it certainly did not run', () => {
    const nonIdempotent = {...attempt, idempotent: false};
    assert.equal(decideRetry(nonIdempotent), false);
    assert.equal(decideRetry({...nonIdempotent, notRun: true}), true);
  });

  it('rejects a retry after the deadline or without an untried endpoint', () => {
    assert.equal(decideRetry({...attempt, remainingMilliseconds: 0}), false);
    assert.equal(decideRetry({...attempt, untriedEndpoints: 0}), false);
  });
});
