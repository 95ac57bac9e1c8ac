/**
 * Tests the choice of an engine for a copy: guards against a copy that goes to
 * another software version than that of its source, to a forbidden region, to an
 * evacuated zone or to a cold engine.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {EndpointEntry} from '@briarpin/coordination';

import {
  createConfiguration,
  createEligibility,
  createRequest,
  type EligibilityFixture,
} from '../endpoint_eligibility/eligibility_fixture.js';
import {EndpointLoads} from '../endpoint_loads/endpoint_loads.js';
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';
import {chooseCheckpointHolder, chooseCopyTarget} from './choose_placement.js';

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
  route: {name: 'long', targetGapMilliseconds: 180},
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

function choose(entries: readonly EndpointEntry[]) {
  const candidates = createEligibility({entries}).find(EXCHANGE);
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

describe('chooseCheckpointHolder', () => {
  /** A request whose run is long enough for a checkpoint. */
  function createLongRequest(): Exchange {
    const request = createRequest();
    return {
      ...request,
      service: {
        ...request.service,
        engine: {supportsCheckpoints: true, memoryTokens: 1e12},
      } as unknown as Exchange['service'],
      metadata: {
        ...request.metadata,
        estimatedOutputTokens: 2e9,
        maximumOutputTokens: 2e9,
      },
    };
  }

  function chooseHolder(
    fixture: Partial<EligibilityFixture> = {},
    isCold = false,
  ) {
    const context = {
      ...CONTEXT,
      coldEndpoints: {isCold: () => isCold},
      eligibility: createEligibility({
        entries: [SOURCE, createEntry('holder', 'v1')],
        ...fixture,
      }),
    } as unknown as ForwardingContext;
    return chooseCheckpointHolder(createLongRequest(), context, SOURCE);
  }

  it('selects another engine', () => {
    assert.equal(chooseHolder()?.id, 'holder');
  });

  describe('selects none', () => {
    it('in a forbidden region', () => {
      const configuration = () => createConfiguration({route: ['west']});
      assert.equal(chooseHolder({configuration}), undefined);
    });

    it('in an evacuated zone', () => {
      const evacuatedZones = new Set(['east-1']);
      assert.equal(chooseHolder({evacuatedZones}), undefined);
    });

    it('that is cold', () => {
      assert.equal(chooseHolder({}, true), undefined);
    });
  });
});
