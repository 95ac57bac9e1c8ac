/**
 * Tests the summary of waiting requests by organisation.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {summariseQueue} from './summarise_queue.js';

describe('summariseQueue', () => {
  it('compares the received share with the fair one', () => {
    const work = new Map([
      ['north', 300],
      ['south', 100],
    ]);
    assert.deepEqual(summariseQueue(['south', 'south'], work), [
      {organisation: 'north', waiting: 0, receivedShare: 0.75, fairShare: 0.5},
      {organisation: 'south', waiting: 2, receivedShare: 0.25, fairShare: 0.5},
    ]);
  });

  it('is empty without requests', () => {
    assert.deepEqual(summariseQueue([], new Map()), []);
  });
});
