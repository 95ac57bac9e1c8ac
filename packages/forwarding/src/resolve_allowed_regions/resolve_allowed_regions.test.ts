/**
 * Tests the regions in which a request may run: guards against a request that is
 * sent where its route or its organisation forbids it, and against a restriction
 * of an old configuration that stays in force.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {
  createConfiguration,
  createRequest,
  type AllowedRegions,
} from '../endpoint_eligibility/eligibility_fixture.js';
import {resolveAllowedRegions} from './resolve_allowed_regions.js';

function resolve(admitted: AllowedRegions, inForce?: AllowedRegions) {
  const regions = resolveAllowedRegions(
    createRequest(admitted),
    inForce && createConfiguration(inForce),
  );
  return regions && [...regions].sort();
}

describe('resolveAllowedRegions', () => {
  describe('with one configuration', () => {
    const cases: ReadonlyArray<[string, AllowedRegions, string[] | undefined]> =
      [
        ['allows all without a restriction', {}, undefined],
        ['applies that of the route', {route: ['east']}, ['east']],
        [
          'applies that of the organisation',
          {organisation: ['west']},
          ['west'],
        ],
        [
          'allows the regions in both',
          {route: ['east', 'west'], organisation: ['west', 'north']},
          ['west'],
        ],
        [
          'allows none if the two exclude each other',
          {route: ['east'], organisation: ['west']},
          [],
        ],
      ];
    for (const [title, allowed, expected] of cases) {
      it(title, () => {
        assert.deepEqual(resolve(allowed, allowed), expected);
        assert.deepEqual(resolve(allowed), expected);
      });
    }
  });

  describe('with a configuration newer than the admission', () => {
    it('applies a restriction that was added', () => {
      assert.deepEqual(resolve({}, {organisation: ['east']}), ['east']);
      assert.deepEqual(resolve({}, {route: ['east']}), ['east']);
    });

    it('does not apply one that was removed', () => {
      assert.equal(
        resolve({route: ['east'], organisation: ['east']}, {}),
        undefined,
      );
    });

    it('keeps that of a route and an organisation that were removed', () => {
      const configuration = {
        ...createConfiguration(),
        routes: [],
        organisationsByKey: undefined,
      };
      const request = createRequest({
        route: ['east', 'west'],
        organisation: ['west'],
      });
      const regions = resolveAllowedRegions(request, configuration);
      assert.deepEqual([...(regions ?? [])], ['west']);
    });
  });

  it('applies all restrictions of routes that have the same name', () => {
    const [east, west] = [['east', 'west'], ['west']].map(
      route => createConfiguration({route}).routes,
    );
    const configuration = {
      ...createConfiguration(),
      routes: [...(east ?? []), ...(west ?? [])],
    };
    const regions = resolveAllowedRegions(createRequest(), configuration);
    assert.deepEqual([...(regions ?? [])], ['west']);
  });
});
