/**
 * Tests the slowdown by the size of a batch: guards against samples that are
 * divided by less than 1, which would make an endpoint appear slower than it is.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {computeBatchSlowdown} from './compute_batch_slowdown.js';

describe('computeBatchSlowdown', () => {
  it('is 1 at an empty engine', () => {
    assert.equal(computeBatchSlowdown(0), 1);
  });

  it('is 1 where released work has left a negative count', () => {
    assert.equal(computeBatchSlowdown(-3), 1);
  });

  it('follows a step of 7 ms and 0.12 ms for each running request', () => {
    const milliseconds = 7 * computeBatchSlowdown(24);
    assert.ok(Math.abs(milliseconds - 9.88) < 1e-9, `${milliseconds}`);
  });
});
