/**
 * Tests what a gateway knows of the return of the others.
 */
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {GatewayReturns} from './gateway_returns.js';

const OWN_MILLISECONDS = 6_000;

describe('GatewayReturns', () => {
  let now: number;
  let reachable: string[];
  let returns: GatewayReturns;

  beforeEach(() => {
    now = 1_000;
    reachable = ['b', 'c'];
    returns = new GatewayReturns({
      clock: {now: () => now},
      reachableGateways: () => reachable,
    });
  });

  it('sends callers to a gateway that serves', () => {
    returns.record('b', 4_000);
    assert.equal(returns.computeDelay(OWN_MILLISECONDS), 50);
  });

  it('counts down to the first return when all stop', () => {
    returns.record('b', 4_000);
    returns.record('c', 5_000);
    now += 1_500;
    assert.equal(returns.computeDelay(OWN_MILLISECONDS), 2_500);
  });

  it('expects the return of a gateway whose process has ended', () => {
    returns.record('b', 4_000);
    reachable = [];
    now += 3_000;
    assert.equal(returns.computeDelay(OWN_MILLISECONDS), 1_000);
  });

  it('sends callers to a gateway that has returned', () => {
    returns.record('b', 4_000);
    returns.record('c', 5_000);
    returns.record('b', undefined);
    assert.equal(returns.computeDelay(OWN_MILLISECONDS), 50);
  });

  it('does not wait for a gateway that is long overdue', () => {
    returns.record('b', 500);
    reachable = [];
    now += 3_000;
    assert.equal(returns.computeDelay(OWN_MILLISECONDS), OWN_MILLISECONDS);
  });
});
