/**
 * Tests the expected lateness: guards against a single pause that is taken for
 * a slow process, and against a slow process that is not noticed.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {TimerLateness} from './timer_lateness.js';

function observe(...latenesses: number[]): number {
  const lateness = new TimerLateness();
  latenesses.forEach(milliseconds => lateness.record(milliseconds));
  return lateness.expectedMilliseconds;
}

describe('TimerLateness', () => {
  it('expects none before the first timer', () => {
    assert.equal(observe(), 0);
  });

  it('does not expect another pause after one', () => {
    assert.ok(observe(2, 1, 1_900, 2, 1) < 3);
  });

  it('expects the shorter one of two pauses', () => {
    const expected = observe(600, 2, 1_900, 2);
    assert.ok(expected > 500 && expected <= 600, String(expected));
  });

  it('expects timers of a slow process to stay late', () => {
    assert.ok(observe(80, 90, 85, 100, 80) > 70);
  });

  it('forgets pauses over time', () => {
    const calm = Array.from({length: 100}, () => 1);
    assert.ok(observe(600, 900, ...calm) < 10);
  });
});
