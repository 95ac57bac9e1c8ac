/**
 * Tests of the requests that wait for the engines of a service, where limits or a
 * new configuration restrict the engines while they wait.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {RoutingConfiguration} from '@briarpin/coordination';

import {createConfiguration} from '../endpoint_eligibility/eligibility_fixture.js';
import {
  createEntry,
  isWaiting,
  TestGateway,
} from '../engine_queue/test_gateway.js';

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

  // Guards against requests that are rejected or held back for the restriction of
  // another request that was admitted under the same one.
  describe('when a new configuration restricts an organisation', () => {
    const createRestricted = () => {
      const state: {configuration?: RoutingConfiguration} = {};
      const gateway = new TestGateway({
        configuration: () => state.configuration,
      });
      gateway.fill('e1');
      const restrict = () => {
        state.configuration = createConfiguration({organisation: ['west']});
      };
      return {gateway, restrict};
    };

    it('rejects its requests at once if no allowed engine is left', async () => {
      const {gateway, restrict} = createRestricted();
      const restricted = gateway.submit({organisation: 'quilters'});
      const other = gateway.submit({organisation: 'north'});
      await gateway.clock.advance(60);
      restrict();
      await gateway.clock.advance(60);
      assert.deepEqual(restricted.outcome, {kind: 'none'});
      assert.ok(isWaiting(other));
      await gateway.clock.advance(1_500);
      gateway.release('e1');
      await gateway.clock.advance(60);
      assert.equal(other.outcome?.kind, 'placed');
    });

    it('lets other requests go on to the engines that it may not use', async () => {
      const {gateway, restrict} = createRestricted();
      const west = {...createEntry('w1'), availabilityZone: 'west-1'};
      gateway.engines = [...gateway.engines, west];
      gateway.fill('w1');
      const restricted = gateway.submit({organisation: 'quilters'});
      const other = gateway.submit({organisation: 'north'});
      await gateway.clock.advance(60);
      restrict();
      gateway.release('e1');
      await gateway.clock.advance(60);
      assert.equal(other.outcome?.kind, 'placed');
      assert.ok(isWaiting(restricted));
      gateway.release('w1');
      await gateway.clock.advance(60);
      assert.ok(restricted.outcome?.kind === 'placed');
      assert.equal(restricted.outcome.engine.id, 'w1');
    });
  });

  // Guards against a process that ends, and requests that wait for ever, because a
  // review failed.
  it('rejects what waits as not run when a review fails', async () => {
    const gateway = new TestGateway();
    gateway.fill('e1');
    const waiting = gateway.submit();
    await gateway.clock.advance(30);
    const {loads} = gateway;
    const computeCandidates = loads.computeCandidates.bind(loads);
    loads.computeCandidates = () => {
      throw new Error('no candidates');
    };
    await gateway.clock.advance(60);
    assert.ok(waiting.outcome?.kind === 'failed');
    assert.equal(waiting.outcome.mayHaveRun, false);
    assert.ok(gateway.events.includes('review_failed'));
    loads.computeCandidates = computeCandidates;
    const next = gateway.submit();
    await gateway.clock.advance(30);
    assert.ok(isWaiting(next));
    gateway.release('e1');
    await gateway.clock.advance(60);
    assert.equal(next.outcome?.kind, 'placed');
  });
});
