/**
 * Tests the pauses of endpoints: guards against a pause that ends early, and
 * against one that never ends.
 */
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {EndpointPauses} from './endpoint_pauses.js';

describe('EndpointPauses', () => {
  let now: number;
  let pauses: EndpointPauses;

  beforeEach(() => {
    now = 0;
    pauses = new EndpointPauses(() => now);
  });

  it('lasts for the stated time', () => {
    assert.equal(pauses.computeWaitMilliseconds('e'), 0);
    pauses.record('e', 1_000);
    now = 400;
    assert.equal(pauses.computeWaitMilliseconds('e'), 600);
    now = 1_000;
    assert.equal(pauses.computeWaitMilliseconds('e'), 0);
  });

  it('is not shortened by a later statement', () => {
    pauses.record('e', 1_000);
    pauses.record('e', 200);
    assert.equal(pauses.computeWaitMilliseconds('e'), 1_000);
  });

  it('does not end when others are recorded, ended ones included', () => {
    pauses.record('short', 10);
    pauses.record('e', 1_000);
    now = 500;
    pauses.record('other', 1_000);
    assert.equal(pauses.computeWaitMilliseconds('e'), 500);
    assert.equal(pauses.computeWaitMilliseconds('short'), 0);
  });
});
