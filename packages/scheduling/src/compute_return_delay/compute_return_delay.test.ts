/**
 * Tests when a caller of a stopping instance may come back.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {computeReturnDelay} from './compute_return_delay.js';

describe('computeReturnDelay', () => {
  it('sends callers to another instance at once', () => {
    const delay = computeReturnDelay({
      isOtherServing: true,
      ownMilliseconds: 6_000,
      otherMilliseconds: [2_500],
    });
    assert.equal(delay, 50);
  });

  it('waits for the first instance that returns when all stop', () => {
    const delay = computeReturnDelay({
      isOtherServing: false,
      ownMilliseconds: 6_000,
      otherMilliseconds: [7_000, 2_500],
    });
    assert.equal(delay, 2_500);
  });

  it('waits for itself when it knows no other instance', () => {
    const delay = computeReturnDelay({
      isOtherServing: false,
      ownMilliseconds: 6_000,
      otherMilliseconds: [],
    });
    assert.equal(delay, 6_000);
  });

  it('never tells callers to come back at once to an instance that is late', () => {
    const delay = computeReturnDelay({
      isOtherServing: false,
      ownMilliseconds: -200,
      otherMilliseconds: [-1_000],
    });
    assert.equal(delay, 50);
  });
});
