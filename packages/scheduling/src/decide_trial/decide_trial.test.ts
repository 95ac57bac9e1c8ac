/**
 * Tests the decision on trials: guards against a sound suspect that is refused
 * for good, and against a deadly one that runs again and again.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {
  computeTrialWaitMilliseconds,
  decideTrial,
  type TrialState,
} from './decide_trial.js';

const decide = (state: TrialState) => decideTrial(state, () => 0);

describe('decideTrial', () => {
  it('waits after the last crash', () => {
    assert.equal(decide({lastCrashAt: 10_000, now: 11_000}), false);
    assert.equal(decide({lastCrashAt: 10_000, now: 13_000}), true);
  });

  it('makes no second trial after one that crashed its endpoint', () => {
    const state = {lastTrialAt: 13_000, lastCrashAt: 13_400};
    assert.equal(decide({...state, now: 1_000_000}), false);
  });

  it('makes another trial some time after one that showed nothing', () => {
    const state = {lastTrialAt: 13_000, lastCrashAt: 10_000};
    assert.equal(decide({...state, now: 20_000}), false);
    assert.equal(decide({...state, now: 30_000}), true);
  });

  it('leaves out most requests, so that few processes start one at once', () => {
    const state = {lastCrashAt: 0, now: 5_000};
    assert.equal(
      decideTrial(state, () => 0.5),
      false,
    );
  });
});

describe('computeTrialWaitMilliseconds', () => {
  it('counts from the last crash, and from a trial that showed nothing', () => {
    const lastCrashAt = 10_000;
    const compute = computeTrialWaitMilliseconds;
    assert.equal(compute({lastCrashAt, now: 11_500}), 500);
    assert.equal(compute({lastCrashAt, now: 20_000}), 0);
    const lastTrialAt = 13_000;
    assert.equal(compute({lastCrashAt, lastTrialAt, now: 20_000}), 8_000);
  });

  it('expects no trial after one that crashed its endpoint', () => {
    const state = {lastTrialAt: 13_000, lastCrashAt: 13_400, now: 20_000};
    assert.equal(computeTrialWaitMilliseconds(state), undefined);
  });
});
