/**
 * Tests where a call has room. Guards against calls that wait at an endpoint
 * past their target latency, and at the gateway although an endpoint is free.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {EndpointState} from '../select_endpoint/select_endpoint.js';
import {findCallRoom} from './find_call_room.js';

function createState(overrides: Partial<EndpointState>): EndpointState {
  return {
    id: 'e1',
    openRequests: 0,
    slots: 6,
    concurrencyLimit: 6,
    usedTokens: 0,
    memoryTokens: Number.POSITIVE_INFINITY,
    evacuationShare: 0,
    copyMillisecondsPerToken: 0,
    roundTripMilliseconds: 2,
    failureShare: 0,
    waitMilliseconds: 60,
    ...overrides,
  };
}

function hasRoom(overrides: Partial<EndpointState>): boolean {
  const demand = {shortestTargetMilliseconds: 300};
  return findCallRoom([createState(overrides)], demand).length === 1;
}

describe('findCallRoom', () => {
  it('has room where a slot is free, however slow the endpoint was', () => {
    assert.equal(hasRoom({openRequests: 5, waitMilliseconds: 900}), true);
  });

  it('has room for a queue that is worked off in time', () => {
    assert.equal(hasRoom({openRequests: 12, waitMilliseconds: 140}), true);
    assert.equal(hasRoom({openRequests: 12, waitMilliseconds: 260}), false);
  });

  it('bounds the queue of an endpoint whose speed is not known', () => {
    assert.equal(hasRoom({openRequests: 17, waitMilliseconds: 0}), true);
    assert.equal(hasRoom({openRequests: 18, waitMilliseconds: 0}), false);
  });

  it('keeps the limit of an endpoint that accepts less than its slots', () => {
    const limited = {concurrencyLimit: 1, waitMilliseconds: 260};
    assert.equal(hasRoom({...limited, openRequests: 0}), true);
    assert.equal(hasRoom({...limited, openRequests: 1}), false);
  });
});
