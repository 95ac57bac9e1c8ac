/**
 * Tests of the requests that wait for the engines of a service, where limits or a
 * new configuration restrict the engines while they wait.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {isWaiting, TestGateway} from '../engine_queue/test_gateway.js';

/** Limits that allow another request now, before those in flight are counted. */
const ONE_LEFT = {
  hasCapacity: () => true,
  computeWaitMilliseconds: () => 0,
  computePauseMilliseconds: () => 0,
};

describe('ServiceQueue', () => {
  // Guards against a cold engine that crashes because all requests of a review
  // are placed before the first of them is counted.
  describe('sends one request of a review to', () => {
    const cases = {
      'a cold engine': {coldEndpoints: {...ONE_LEFT, isCold: () => true}},
      'an engine with a rate limit': {
        limits: {...ONE_LEFT, isLimited: () => true},
      },
    };
    for (const [title, restrictions] of Object.entries(cases)) {
      it(title, async () => {
        const gateway = new TestGateway(restrictions);
        gateway.fill('e1');
        const submitted = [1, 2, 3].map(() =>
          gateway.submit({promptTokens: 500}),
        );
        await gateway.clock.advance(1);
        gateway.release('e1');
        gateway.queue.review();
        await Promise.resolve();
        await gateway.clock.advance(0);
        assert.equal(submitted.filter(isWaiting).length, 2);
        await gateway.clock.advance(100);
        assert.equal(submitted.filter(isWaiting).length, 0);
      });
    }
  });
});
