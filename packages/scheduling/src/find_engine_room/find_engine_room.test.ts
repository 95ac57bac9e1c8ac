/**
 * Tests where a request has room. Guards against engines that are filled beyond
 * their memory, and against a wait although there is room.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {EndpointState} from '../select_endpoint/select_endpoint.js';
import {findEngineRoom, type EngineDemand} from './find_engine_room.js';

function hasRoom(
  state: Partial<EndpointState>,
  demand: Partial<EngineDemand> = {},
): boolean {
  const engine = {
    id: 'e1',
    openRequests: 1,
    slots: 24,
    concurrencyLimit: 24,
    usedTokens: 0,
    memoryTokens: 10_000,
    evacuationShare: 0,
    copyMillisecondsPerToken: 0,
    roundTripMilliseconds: 1,
    failureShare: 0,
    waitMilliseconds: 0,
    ...state,
  };
  const complete = {
    tokens: 1_000,
    prefillMilliseconds: 100,
    usesReserves: false,
    shortestTargetMilliseconds: 1_000,
    ...demand,
  };
  return findEngineRoom([engine], complete).length === 1;
}

describe('findEngineRoom', () => {
  it('leaves the reserves to urgent work', () => {
    assert.equal(hasRoom({usedTokens: 7_400}), true);
    assert.equal(hasRoom({usedTokens: 7_401}), false);
    assert.equal(hasRoom({usedTokens: 9_000}, {usesReserves: true}), true);
    assert.equal(hasRoom({usedTokens: 9_001}, {usesReserves: true}), false);
  });

  it('keeps the concurrency limit, also for urgent work', () => {
    const limited = {openRequests: 3, concurrencyLimit: 3};
    assert.equal(hasRoom(limited), false);
    assert.equal(hasRoom(limited, {usesReserves: true}), false);
    assert.equal(hasRoom({...limited, openRequests: 2}), true);
  });

  it('bounds the prompts that wait, unless none does', () => {
    assert.equal(hasRoom({waitMilliseconds: 500}), true);
    assert.equal(hasRoom({waitMilliseconds: 501}), false);
    assert.equal(
      hasRoom({waitMilliseconds: 1_100}, {usesReserves: true}),
      true,
    );
    assert.equal(
      hasRoom({waitMilliseconds: 1_101}, {usesReserves: true}),
      false,
    );
    assert.equal(hasRoom({}, {prefillMilliseconds: 5_000}), true);
  });

  it('lets an idle engine take a request of any size', () => {
    const large = {tokens: 20_000, prefillMilliseconds: 3_000};
    assert.equal(hasRoom({openRequests: 0}, large), true);
    assert.equal(hasRoom({openRequests: 1, usedTokens: 100}, large), false);
  });
});
