/**
 * Tests the choice of an engine for a copy: guards against a copy that goes to
 * another software version than that of its source.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {EndpointEntry} from '@briarpin/coordination';

import {EndpointLoads} from '../endpoint_loads/endpoint_loads.js';
import type {Exchange, ForwardingContext} from '../exchange/exchange.js';
import {chooseCopyTarget} from './choose_placement.js';

function createEntry(id: string, softwareVersion: string): EndpointEntry {
  return {
    id,
    service: 'text',
    host: '10.0.0.1',
    port: 80,
    availabilityZone: 'east-1',
    softwareVersion,
    state: 'ready',
    slots: 8,
    coldMilliseconds: 0,
  };
}

const EXCHANGE = {
  metadata: {promptTokens: 10, maximumOutputTokens: 10, promptParts: []},
  route: {targetGapMilliseconds: 180},
  service: {name: 'text'},
} as unknown as Exchange;

const CONTEXT = {
  loads: new EndpointLoads({
    now: () => 0,
    findDraining: () => [],
    roundTripMilliseconds: () => 0,
  }),
  regionOf: () => 'east',
  random: () => 0.5,
} as unknown as ForwardingContext;

const SOURCE = createEntry('source', 'v1');

function choose(candidates: readonly EndpointEntry[]) {
  return chooseCopyTarget(EXCHANGE, CONTEXT, SOURCE, {
    candidates,
    allowsOtherRegions: true,
  });
}

describe('chooseCopyTarget', () => {
  it('selects an engine of the version of the source', () => {
    const target = choose([
      createEntry('a', 'v1.1'),
      createEntry('b', 'v1'),
      createEntry('c', 'v1.1'),
    ]);
    assert.equal(target?.id, 'b');
  });

  it('selects none of another version', () => {
    assert.equal(choose([createEntry('a', 'v1.1')]), undefined);
  });
});
