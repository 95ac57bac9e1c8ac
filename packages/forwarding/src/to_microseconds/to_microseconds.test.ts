/**
 * Tests the times in reports: guards against values that the field of the message
 * cannot hold, for which no report would be sent, and against a known time of 0.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {toMicroseconds} from './to_microseconds.js';

describe('toMicroseconds', () => {
  it('rounds to whole microseconds', () => {
    assert.equal(toMicroseconds(28.0004), 28_000);
  });

  it('reports a very short time as known', () => {
    assert.equal(toMicroseconds(0.0001), 1);
  });

  it('stays within 32 bits', () => {
    assert.equal(toMicroseconds(1e12), 4_294_967_295);
  });
});
