/**
 * Tests the bounded mean: guards against one absurd estimate that makes all
 * other endpoints of a service appear fast.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {computeBoundedMean} from './compute_bounded_mean.js';

describe('computeBoundedMean', () => {
  it('knows nothing without estimates', () => {
    assert.equal(computeBoundedMean([]), undefined);
  });

  it('averages plausible estimates', () => {
    assert.equal(computeBoundedMean([28, 28, 68, 28]), 38);
  });

  it('limits an absurd estimate to 8 times the median', () => {
    assert.equal(computeBoundedMean([30, 30, 30, 30_000]), 82.5);
  });
});
