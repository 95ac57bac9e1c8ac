/**
 * Tests the admission of requests. A gateway with a stale configuration must
 * accept no revoked key, and must not permanently reject a key or path that was
 * added since.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {Route, RoutingConfiguration} from '@briarpin/coordination';

import {admitRequest, type AccessRequest} from './admit_request.js';

const BOUNDS = {keyAgeMilliseconds: 4_500, denialAgeMilliseconds: 2_000};

function createRoute(change: Partial<Route>): Route {
  return {
    name: 'stock',
    hostname: 'shop.example',
    pathPrefix: '/stock/',
    repeatability: 'idempotent',
    isStream: false,
    isResumable: false,
    isPublic: false,
    timeoutMilliseconds: 1_000,
    targetLatencyMilliseconds: 100,
    targetGapMilliseconds: 100,
    maximumAttempts: 1,
    priority: 0,
    services: [{service: 'desk', weight: 1}],
    ...change,
  };
}

function createConfiguration(): RoutingConfiguration {
  const service = (name: string) => ({
    name,
    healthPath: '/',
    maximumConnections: 10,
    coldStartMilliseconds: 0,
  });
  return {
    version: 1,
    routes: [
      createRoute({}),
      createRoute({name: 'open', pathPrefix: '/open/', isPublic: true}),
      createRoute({
        name: 'split',
        pathPrefix: '/split/',
        services: [
          {service: 'desk', weight: 90},
          {service: 'text', weight: 10},
        ],
      }),
    ],
    services: new Map([
      ['desk', service('desk')],
      ['text', service('text')],
    ]),
    limits: {
      maximumHeaderBytes: 1,
      maximumBodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
    organisationsByKey: new Map([['key-1', {name: 'quilters'}]]),
  };
}

interface AdmissionCase {
  readonly path?: string;
  readonly apiKey?: string;
  readonly age?: number;
  readonly randomValue?: number;
  readonly hasConfiguration?: boolean;
}

function admit(admissionCase: AdmissionCase) {
  const access: AccessRequest = {
    host: 'shop.example',
    path: admissionCase.path ?? '/stock/1',
    apiKey: admissionCase.apiKey,
  };
  const snapshot = {
    configuration:
      admissionCase.hasConfiguration === false
        ? undefined
        : createConfiguration(),
    ageMilliseconds: admissionCase.age ?? 100,
  };
  const admission = admitRequest(
    access,
    snapshot,
    BOUNDS,
    () => admissionCase.randomValue ?? 0,
  );
  if (admission.kind === 'admitted') {
    const {route, service, organisation} = admission;
    return [route.name, service.name, organisation?.name];
  }
  const {errorResponse} = admission;
  return errorResponse.kind === 'rejected'
    ? errorResponse.status
    : errorResponse.kind;
}

describe('admitRequest', () => {
  it('admits a request with a known key for its organisation', () => {
    assert.deepEqual(admit({apiKey: 'key-1'}), ['stock', 'desk', 'quilters']);
  });

  it('requires no key on a public route', () => {
    assert.deepEqual(admit({path: '/open/'}), ['open', 'desk', undefined]);
  });

  it('selects among the services of a route by their weights', () => {
    const admitWith = (randomValue: number) =>
      admit({path: '/split/', apiKey: 'key-1', randomValue});
    assert.deepEqual(admitWith(0.89), ['split', 'desk', 'quilters']);
    assert.deepEqual(admitWith(0.91), ['split', 'text', 'quilters']);
  });

  it('rejects unknown paths and unknown or missing keys', () => {
    assert.equal(admit({path: '/other/'}), 404);
    assert.equal(admit({apiKey: 'key-2'}), 401);
    assert.equal(admit({}), 401);
  });

  describe('with a stale configuration', () => {
    it('rejects an unknown path or key only as not run', () => {
      assert.equal(admit({path: '/other/', age: 2_500}), 'not_run');
      assert.equal(admit({apiKey: 'key-2', age: 2_500}), 'not_run');
    });

    it('rejects a known key once the maximum key age is reached', () => {
      assert.deepEqual(admit({apiKey: 'key-1', age: 4_499}), [
        'stock',
        'desk',
        'quilters',
      ]);
      assert.equal(admit({apiKey: 'key-1', age: 4_500}), 'not_run');
    });

    it('admits requests to public routes', () => {
      const admissionCase = {path: '/open/', age: 60_000};
      assert.deepEqual(admit(admissionCase), ['open', 'desk', undefined]);
    });
  });

  it('rejects requests as not run before the first configuration', () => {
    assert.equal(admit({hasConfiguration: false}), 'not_run');
  });
});
