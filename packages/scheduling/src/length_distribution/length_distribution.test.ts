/**
 * Tests that the predicted lengths follow the observed ones, also before long
 * generations end and after the lengths have changed.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {LengthDistribution} from './length_distribution.js';

function createDistribution(lengths: readonly number[]): LengthDistribution {
  const distribution = new LengthDistribution();
  lengths.forEach(tokens => distribution.observe(tokens));
  return distribution;
}

describe('LengthDistribution', () => {
  it('estimates the probability that a length is exceeded', () => {
    const lengths = Array.from({length: 400}, (_, index) =>
      index % 5 === 0 ? 1_000 : 20,
    );
    const distribution = createDistribution(lengths);
    assert.ok(Math.abs(distribution.survivalBeyond(100) - 0.2) < 0.05);
    assert.ok(distribution.survivalBeyond(2_000) < 0.01);
  });

  it('predicts a long generation once the short lengths are exceeded', () => {
    const lengths = Array.from({length: 400}, (_, index) =>
      index % 5 === 0 ? 1_000 : 20,
    );
    const distribution = createDistribution(lengths);
    const conditional =
      distribution.survivalBeyond(700) / distribution.survivalBeyond(100);
    assert.ok(conditional > 0.9, `conditional ${conditional}`);
  });

  it('uses the heavy-tailed prior without observations', () => {
    const distribution = new LengthDistribution();
    assert.ok(distribution.survivalBeyond(1_000) > 0.5);
    assert.equal(distribution.computeMean(200), 200);
  });

  it('takes the progress of running generations into account', () => {
    const distribution = createDistribution(new Array<number>(100).fill(50));
    const before = distribution.survivalBeyond(500);
    for (let index = 0; index < 100; index += 1) {
      distribution.recordProgress(0, 600);
    }
    assert.ok(distribution.survivalBeyond(500) > before + 0.3);
  });

  it('discards older observations when the lengths change', () => {
    const distribution = createDistribution(new Array<number>(400).fill(100));
    for (let index = 0; index < 80; index += 1) {
      distribution.observe(2_000);
    }
    assert.ok(distribution.survivalBeyond(500) > 0.5);
    assert.ok(distribution.effectiveObservations < 150);
  });

  it('keeps its observations while the lengths stay the same', () => {
    const lengths = Array.from(
      {length: 2_000},
      (_, index) => 10 + ((index * 37) % 97),
    );
    assert.ok(createDistribution(lengths).effectiveObservations > 350);
  });
});
