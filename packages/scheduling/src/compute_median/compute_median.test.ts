/**
 * Tests the median: guards against a sort by text, which puts 100 before 20, and
 * against an estimate of 0 where nothing is known.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {computeMedian} from './compute_median.js';

describe('computeMedian', () => {
  it('knows nothing without numbers', () => {
    assert.equal(computeMedian([]), undefined);
  });

  it('orders by value, not by text', () => {
    assert.equal(computeMedian([100, 20, 3]), 20);
  });

  it('averages the two middle numbers of an even count', () => {
    assert.equal(computeMedian([40, 10, 30, 20]), 25);
  });

  it('does not follow absurd numbers of less than half', () => {
    assert.equal(computeMedian([30, 1e9, 31, 0, 32]), 31);
  });

  it('does not reorder its argument', () => {
    const values = [3, 1, 2];
    computeMedian(values);
    assert.deepEqual(values, [3, 1, 2]);
  });
});
