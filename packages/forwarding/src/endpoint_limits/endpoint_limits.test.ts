/**
 * Tests of the limits that endpoints state: guards against a limit that one
 * gateway keeps for itself, and against one that outlasts its end.
 */
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {EndpointLimits} from './endpoint_limits.js';

const silent = () => undefined;
const LOGGER = {error: silent, warn: silent, info: silent, debug: silent};

describe('EndpointLimits', () => {
  let now: number;
  let announcements: number;
  let first: EndpointLimits;
  let second: EndpointLimits;

  const createLimits = () =>
    new EndpointLimits({
      now: () => now,
      random: () => 0,
      logger: LOGGER,
      onLimitedRequest: () => (announcements += 1),
    });

  beforeEach(() => {
    now = 0;
    announcements = 0;
    first = createLimits();
    second = createLimits();
  });

  const report = () => second.applyReport('front-1', first.createReport());

  it('admits any request to an endpoint that states no limit', () => {
    first.recordResponse('e', undefined);
    first.recordRequest('e');
    assert.equal(first.hasCapacity('e'), true);
    assert.deepEqual(first.createReport(), []);
    assert.equal(announcements, 0);
  });

  it('counts the requests of another gateway', () => {
    first.recordResponse('e', 1);
    report();
    assert.equal(second.hasCapacity('e'), true);
    first.recordRequest('e');
    assert.equal(announcements, 1);
    report();
    report();
    assert.equal(second.hasCapacity('e'), false);
    assert.equal(second.computeWaitMilliseconds('e'), 1_000);
    now = 1_000;
    assert.equal(second.hasCapacity('e'), true);
  });

  it('counts from 0 after another gateway has restarted', () => {
    first.recordResponse('e', 1);
    first.recordRequest('e');
    first.recordRequest('e');
    report();
    first = createLimits();
    first.recordResponse('e', 1);
    first.recordRequest('e');
    now = 10;
    report();
    assert.equal(second.hasCapacity('e'), false);
  });

  it('has no capacity for a request within a pause, though the endpoint left', () => {
    first.recordPause('e', 1_000);
    first.remove('e');
    now = 999;
    assert.equal(first.hasCapacity('e'), false);
    assert.equal(first.computeWaitMilliseconds('e'), 1);
    now = 1_000;
    assert.equal(first.hasCapacity('e'), true);
  });

  it('forgets a limit that no response confirms for long', () => {
    first.recordResponse('e', 0);
    first.recordRequest('e');
    assert.equal(first.hasCapacity('e'), false);
    now = 61_000;
    first.createReport();
    first.recordRequest('e');
    first.recordRequest('e');
    assert.equal(first.hasCapacity('e'), true);
  });

  it('applies what the endpoint stated last, to any gateway', () => {
    first.recordResponse('e', 1);
    now = 100;
    second.recordResponse('e', 5);
    report();
    assert.equal(second.createReport()[0]?.requestsPerSecond, 5);
    now = 200;
    first.recordResponse('e', undefined);
    report();
    second.recordRequest('e');
    second.recordRequest('e');
    assert.equal(second.hasCapacity('e'), true);
  });
});
