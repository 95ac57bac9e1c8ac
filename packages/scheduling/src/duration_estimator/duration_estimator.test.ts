/**
 * Tests of the estimate of durations.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {DurationEstimator} from './duration_estimator.js';

function estimate(samples: readonly number[]): number | undefined {
  const estimator = new DurationEstimator();
  samples.forEach(sample => estimator.record(sample));
  return estimator.upperMilliseconds;
}

describe('DurationEstimator', () => {
  it('knows nothing without samples', () => {
    assert.equal(estimate([]), undefined);
  });

  it('allows for three times the first sample', () => {
    assert.equal(estimate([100]), 300);
  });

  it('comes close to durations that are all alike', () => {
    const upper = estimate(Array.from({length: 50}, () => 100));
    assert.ok(upper !== undefined && upper >= 100 && upper < 101);
  });

  it('covers the longer ones of two lengths in turn', () => {
    const samples = Array.from({length: 50}, (_, index) =>
      index % 2 === 0 ? 100 : 900,
    );
    assert.ok((estimate(samples) ?? 0) > 900);
  });
});
