/**
 * Tests the filter of endpoints: guards against a request, a retry, a copy or a
 * moved run that reaches an endpoint outside the allowed regions, in an evacuated
 * zone or above the rate of a cold endpoint.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {RoutingConfiguration} from '@briarpin/coordination';

import {findUntriedEndpoints} from '../find_untried_endpoints/find_untried_endpoints.js';
import type {StoppedRun} from '../stopped_run/stopped_run.js';
import type {EligibleEndpoints} from './endpoint_eligibility.js';
import {
  createConfiguration,
  createEligibility,
  createEntry,
  createRequest,
} from './eligibility_fixture.js';

const EAST = createEntry('e', 'east-1');
const EAST_2 = createEntry('e-2', 'east-2');
const WEST = createEntry('w', 'west-1');
const ENTRIES = [EAST, EAST_2, WEST];

function listIds(endpoints: EligibleEndpoints): string[] {
  return endpoints.map(({id}) => id);
}

describe('EndpointEligibility', () => {
  describe('find', () => {
    it('returns all ready endpoints without a restriction', () => {
      const eligibility = createEligibility({entries: ENTRIES});
      assert.deepEqual(listIds(eligibility.find(createRequest())), [
        'e',
        'e-2',
        'w',
      ]);
    });

    it('returns only endpoints in the allowed regions', () => {
      const eligibility = createEligibility({entries: ENTRIES});
      const request = createRequest({organisation: ['west']});
      assert.deepEqual(listIds(eligibility.find(request)), ['w']);
    });

    it('returns no endpoint in a zone of unknown region', () => {
      const eligibility = createEligibility({
        entries: ENTRIES,
        regionOf: () => undefined,
      });
      assert.deepEqual(
        listIds(eligibility.find(createRequest({route: ['east']}))),
        [],
      );
      assert.equal(eligibility.find(createRequest()).length, 3);
    });

    it('applies a configuration that came after the admission', () => {
      let configuration: RoutingConfiguration = createConfiguration();
      const eligibility = createEligibility({
        entries: ENTRIES,
        configuration: () => configuration,
      });
      const request = createRequest();
      assert.equal(eligibility.find(request).length, 3);
      configuration = createConfiguration({route: ['west']});
      assert.deepEqual(listIds(eligibility.find(request)), ['w']);
    });

    it('returns no endpoint of an evacuated zone until it is restored', () => {
      const evacuatedZones = new Set(['east-1', 'west-1']);
      const eligibility = createEligibility({entries: ENTRIES, evacuatedZones});
      const request = createRequest();
      assert.deepEqual(listIds(eligibility.find(request)), ['e-2']);
      evacuatedZones.delete('east-1');
      assert.deepEqual(listIds(eligibility.find(request)), ['e', 'e-2']);
    });

    it('returns only endpoints of the version at which the stream began', () => {
      const entries = [
        EAST,
        createEntry('new', 'east-1', {softwareVersion: 'v2'}),
      ];
      const request = createRequest();
      request.origin = {service: EAST.service, softwareVersion: 'v2'};
      const eligibility = createEligibility({entries});
      assert.deepEqual(listIds(eligibility.find(request)), ['new']);
    });
  });

  describe('findAccepting', () => {
    it('returns no cold endpoint above its rate', () => {
      const eligibility = createEligibility({
        entries: ENTRIES,
        coldEndpoints: {
          hasCapacity: ({id}) => id !== 'e',
          isCold: ({id}) => id === 'e',
          computeWaitMilliseconds: () => 0,
        },
      });
      assert.deepEqual(listIds(eligibility.findAccepting(createRequest())), [
        'e-2',
        'w',
      ]);
    });

    it('offers a retry only allowed endpoints that were not tried', () => {
      const eligibility = createEligibility({entries: ENTRIES});
      const request = createRequest({route: ['east']});
      request.triedEndpointIds.push('e');
      assert.deepEqual(listIds(findUntriedEndpoints(request, {eligibility})), [
        'e-2',
      ]);
    });
  });

  describe('listMemoryHolders', () => {
    const memorySource = {host: 'e', port: 80, handle: 'h-1'};
    const stopped: StoppedRun = {kind: 'stopped', target: WEST, memorySource};

    it('returns the target before the source', () => {
      const eligibility = createEligibility({entries: ENTRIES});
      assert.deepEqual(
        listIds(eligibility.listMemoryHolders(createRequest(), EAST, stopped)),
        ['w', 'e'],
      );
    });

    it('returns no target that became forbidden during the copy', () => {
      const eligibility = createEligibility({
        entries: ENTRIES,
        configuration: () => createConfiguration({organisation: ['east']}),
      });
      assert.deepEqual(
        listIds(eligibility.listMemoryHolders(createRequest(), EAST, stopped)),
        ['e'],
      );
    });

    it('returns no source whose region became forbidden', () => {
      const eligibility = createEligibility({
        entries: ENTRIES,
        configuration: () => createConfiguration({route: ['north']}),
      });
      assert.deepEqual(
        listIds(eligibility.listMemoryHolders(createRequest(), EAST, stopped)),
        [],
      );
    });

    it('returns no target in an evacuated zone', () => {
      const eligibility = createEligibility({
        entries: ENTRIES,
        evacuatedZones: new Set(['west-1']),
      });
      assert.deepEqual(
        listIds(eligibility.listMemoryHolders(createRequest(), EAST, stopped)),
        ['e'],
      );
    });

    // Guards against a stopped run that is sent to its source in such a zone.
    it('returns no source in an evacuated zone', () => {
      const eligibility = createEligibility({
        entries: ENTRIES,
        evacuatedZones: new Set(['east-1']),
      });
      const moved: StoppedRun = {kind: 'stopped_at_source', memorySource};
      assert.deepEqual(
        listIds(eligibility.listMemoryHolders(createRequest(), EAST, moved)),
        [],
      );
      assert.deepEqual(
        listIds(eligibility.listMemoryHolders(createRequest(), EAST, stopped)),
        ['w'],
      );
    });

    it('returns only the target of a run whose last copy was refused', () => {
      const eligibility = createEligibility({entries: ENTRIES});
      const moved: StoppedRun = {
        kind: 'stopped_at_copy',
        target: WEST,
        memorySource,
      };
      assert.deepEqual(
        listIds(eligibility.listMemoryHolders(createRequest(), EAST, moved)),
        ['w'],
      );
    });
  });

  describe('computeWaitMilliseconds', () => {
    it('returns the time until the first cold endpoint has room', () => {
      const waits = new Map([
        ['e', 700],
        ['e-2', 400],
        ['w', 100],
      ]);
      const eligibility = createEligibility({
        entries: ENTRIES,
        coldEndpoints: {
          hasCapacity: () => false,
          isCold: () => true,
          computeWaitMilliseconds: ({id}) => waits.get(id) ?? 0,
        },
      });
      const request = createRequest({route: ['east']});
      assert.equal(eligibility.computeWaitMilliseconds(request), 400);
    });
  });

  describe('isRestrictedFromAll', () => {
    it('is true when the only allowed region is lost', () => {
      const request = createRequest({organisation: ['west']});
      const eligibility = createEligibility({entries: [EAST]});
      assert.equal(eligibility.isRestrictedFromAll(request), true);
    });

    it('is true when all zones are evacuated', () => {
      const eligibility = createEligibility({
        entries: [EAST],
        evacuatedZones: new Set(['east-1']),
      });
      assert.equal(eligibility.isRestrictedFromAll(createRequest()), true);
    });

    it('is false when another cause leaves no endpoint', () => {
      const request = createRequest({route: ['east']});
      for (const entries of [[], [EAST]]) {
        const eligibility = createEligibility({entries});
        assert.equal(eligibility.isRestrictedFromAll(request), false);
      }
    });
  });
});
