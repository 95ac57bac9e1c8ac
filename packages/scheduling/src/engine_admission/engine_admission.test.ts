/**
 * Tests of the admission before the engines: the order of waiting requests, the
 * reserves and the rejections.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {EndpointState} from '../select_endpoint/select_endpoint.js';
import {createRequest, createUrgent} from './create_requests.js';
import {EngineAdmission} from './engine_admission.js';
import {ModelEngine} from './simulated_engines.js';

describe('EngineAdmission', () => {
  describe('order', () => {
    const busy = (usedTokens: number): EndpointState => ({
      ...new ModelEngine('e1').readState(),
      openRequests: 1,
      usedTokens,
    });

    it('counts what the flooding organisation got at other gateways', () => {
      const admission = new EngineAdmission<EndpointState>(() => 0.5);
      const full = {...new ModelEngine('e1').readState(), usedTokens: 27_000};
      const flood = createRequest({organisation: 'flood'});
      const north = createRequest({organisation: 'north', arrivedAt: 1});
      admission.charge('flood', 50_000, 0);
      admission.submit(flood, 1);
      admission.submit(north, 1);
      admission.review(1, () => [{...full, openRequests: 1}]);
      const free = {...full, usedTokens: 27_000 * 0.8 - 4_000, openRequests: 1};
      const {placements} = admission.review(2, () => [free]);
      assert.deepEqual(
        placements.map(({request}) => request.organisation),
        ['north'],
      );
    });

    // Guards against organisations that are served in order of arrival only because
    // they may use other engines than the one that floods.
    it('shares room between lanes by the work received', () => {
      const admission = new EngineAdmission<EndpointState>(() => 0.5);
      for (let index = 0; index < 20; index += 1) {
        admission.submit(
          createRequest({organisation: 'flood', lane: 'all'}),
          0,
        );
      }
      for (let index = 0; index < 10; index += 1) {
        admission.submit(
          createRequest({organisation: 'north', lane: 'east', arrivedAt: 1}),
          1,
        );
      }
      const served: string[] = [];
      for (let now = 2; now < 22; now += 2) {
        const {placements} = admission.review(now, () => [busy(18_500)]);
        served.push(...placements.map(({request}) => request.organisation));
      }
      assert.equal(served.length, 10);
      const north = served.filter(name => name === 'north').length;
      assert.equal(north, 5);
    });

    it('lets a late request go before another lane that has received much', () => {
      const admission = new EngineAdmission<EndpointState>(() => 0.5);
      admission.submit(createRequest({organisation: 'north', lane: 'east'}), 0);
      admission.submit(
        createRequest({organisation: 'flood', lane: 'all', arrivedAt: 3_900}),
        3_900,
      );
      admission.charge('flood', 50_000, 3_950);
      admission.review(4_100, () => [busy(27_000)]);
      const {placements} = admission.review(4_120, () => [busy(18_500)]);
      assert.deepEqual(
        placements.map(({request}) => request.organisation),
        ['north'],
      );
    });

    it('lets a request that has missed its target give way to equals', () => {
      const admission = new EngineAdmission<EndpointState>(() => 0.5);
      admission.submit(createRequest({id: 'late'}), 0);
      admission.submit(createRequest({id: 'timely', arrivedAt: 3_900}), 3_900);
      admission.review(4_100, () => [busy(27_000)]);
      const {placements} = admission.review(4_120, () => [busy(18_500)]);
      assert.deepEqual(
        placements.map(({request}) => request.id),
        ['timely'],
      );
    });

    it('leaves reserves that only urgent requests use', () => {
      const admission = new EngineAdmission<EndpointState>(() => 0.5);
      admission.submit(createRequest({id: 'long'}), 0);
      admission.submit(createUrgent({id: 'urgent'}), 0);
      const {placements} = admission.review(0, () => [busy(24_000)]);
      assert.deepEqual(
        placements.map(({request}) => request.id),
        ['urgent'],
      );
    });

    it('gives less urgent requests a minimum share under urgent load', () => {
      const admission = new EngineAdmission<EndpointState>(() => 0.5);
      admission.submit(createRequest({id: 'long'}), 0);
      let isStarted = false;
      for (let now = 0; now < 3_000 && !isStarted; now += 20) {
        admission.submit(createUrgent({arrivedAt: now}), now);
        admission.submit(createUrgent({arrivedAt: now}), now);
        const {placements} = admission.review(now, () => [busy(23_000)]);
        isStarted = placements.some(({request}) => request.id === 'long');
      }
      assert.ok(isStarted, 'starves although urgent work is admitted');
    });

    it('does not hold back requests that other engines may run', () => {
      const admission = new EngineAdmission<EndpointState>(() => 0.5);
      admission.submit(createRequest({id: 'west', lane: 'west'}), 0);
      admission.submit(createRequest({id: 'east', lane: 'east'}), 0);
      const {placements} = admission.review(0, ({lane}) =>
        lane === 'west' ? [busy(27_000)] : [busy(0)],
      );
      assert.deepEqual(
        placements.map(({request}) => request.id),
        ['east'],
      );
    });
  });

  describe('rejections', () => {
    // Guards against waits that are predicted from the demand of a quiet time.
    it('predicts a wait although requests started without waiting before', () => {
      const admission = new EngineAdmission<EndpointState>(() => 0.5);
      const engine = new ModelEngine('e1').readState();
      for (let now = 0; now < 60_000; now += 100) {
        admission.submit(createRequest({arrivedAt: now}), now);
        assert.equal(
          admission.review(now, () => [engine]).placements.length,
          1,
        );
      }
      const full = {...engine, openRequests: 1, usedTokens: 27_000};
      for (let now = 60_000; now <= 64_000; now += 100) {
        admission.submit(createRequest({arrivedAt: now}), now);
        admission.review(now, () => [full]);
      }
      const last = createRequest({arrivedAt: 64_050});
      const rejection = admission.submit(last, 64_050);
      assert.equal(rejection?.reason, 'predicted_wait');
    });

    it('state the predicted wait with a jitter of at most a quarter', () => {
      const admission = new EngineAdmission<EndpointState>(() => 0.999);
      const full = {...new ModelEngine('e1').readState(), openRequests: 24};
      for (let now = 0; now <= 2_000; now += 20) {
        admission.submit(createRequest({arrivedAt: now}), now);
        admission.review(now, () => [full]);
      }
      const rejection = admission.submit(
        createRequest({arrivedAt: 2_000}),
        2_000,
      );
      assert.ok(rejection !== undefined);
      assert.equal(rejection.reason, 'predicted_wait');
      const {waitMilliseconds, retryAfterMilliseconds} = rejection;
      assert.ok(waitMilliseconds > 31_000);
      assert.ok(retryAfterMilliseconds >= waitMilliseconds);
      assert.ok(retryAfterMilliseconds <= 1.25 * waitMilliseconds);
    });

    it('do not follow from a quiet time before the load', () => {
      const admission = new EngineAdmission<EndpointState>(() => 0.5);
      const idle = new ModelEngine('e1').readState();
      for (let now = 0; now < 60_000; now += 10_000) {
        admission.submit(createRequest({arrivedAt: now}), now);
        admission.review(now, () => [idle]);
      }
      for (let index = 0; index < 20; index += 1) {
        const request = createRequest({arrivedAt: 60_000});
        assert.equal(admission.submit(request, 60_000), undefined);
      }
    });

    it('happen before the start of what expired in a suspended process', () => {
      const admission = new EngineAdmission<EndpointState>(() => 0.5);
      admission.submit(createUrgent({id: 'expired'}), 0);
      admission.submit(createRequest({id: 'valid'}), 0);
      const idle = new ModelEngine('e1').readState();
      const review = admission.review(9_000, () => [idle]);
      assert.deepEqual(
        review.rejections.map(({request}) => request.id),
        ['expired'],
      );
      assert.deepEqual(
        review.placements.map(({request}) => request.id),
        ['valid'],
      );
    });
  });
});
