/**
 * Tests the limit of the memory for bodies.
 *
 * Guards against a limit that leaves the runtime no memory, and against one that
 * rejects every body at a very small gateway.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {computeMemoryLimit} from './compute_memory_limit.js';

describe('computeMemoryLimit', () => {
  it('leaves room for the runtime', () => {
    assert.equal(computeMemoryLimit(178), 14_666_666);
    assert.equal(computeMemoryLimit(602), 85_333_333);
  });

  it('leaves room for one large body at a very small gateway', () => {
    assert.equal(computeMemoryLimit(64), 12_000_000);
  });

  it('sets no limit if the memory is not stated', () => {
    assert.equal(computeMemoryLimit(undefined), Number.POSITIVE_INFINITY);
  });
});
