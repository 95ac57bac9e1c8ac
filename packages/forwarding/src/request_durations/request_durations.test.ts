/**
 * Tests of the learned durations of requests.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {Route} from '@briarpin/coordination';

import {RequestDurations, type EstimatedRequest} from './request_durations.js';

function createRequest(
  maximumOutputTokens: number,
  change: Partial<Route> = {},
): EstimatedRequest {
  const route: Route = {
    name: 'text',
    hostname: 'shop.example',
    pathPrefix: '/text/',
    repeatability: 'non_idempotent',
    isStream: true,
    isResumable: false,
    isPublic: false,
    timeoutMilliseconds: 30_000,
    targetLatencyMilliseconds: 1_000,
    targetGapMilliseconds: 180,
    maximumAttempts: 1,
    priority: 0,
    services: [],
    ...change,
  };
  return {route, metadata: {maximumOutputTokens}};
}

describe('RequestDurations', () => {
  it('assumes a duration by size until requests have ended', () => {
    const durations = new RequestDurations();
    assert.equal(durations.estimate(createRequest(100)), 2_500);
    assert.equal(durations.estimate(createRequest(10_000)), 30_000);
  });

  it('assumes twice the latency target of a call', () => {
    const call = createRequest(0, {isStream: false});
    assert.equal(new RequestDurations().estimate(call), 2_000);
  });

  it('learns short and long streams of one route apart', () => {
    const durations = new RequestDurations();
    for (let sample = 0; sample < 30; sample += 1) {
      durations.record(createRequest(16), 300);
      durations.record(createRequest(1_000), 12_000);
    }
    assert.ok(durations.estimate(createRequest(20)) < 400);
    assert.ok(durations.estimate(createRequest(1_020)) > 11_000);
  });
});
