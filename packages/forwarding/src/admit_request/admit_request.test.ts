/**
 * Tests of admitting requests.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {Route, RoutingConfiguration} from '@briarpin/coordination';

import {admitRequest, type RequestedAccess} from './admit_request.js';

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

interface Scene {
  readonly path?: string;
  readonly apiKey?: string;
  readonly age?: number;
  readonly drawn?: number;
  readonly isConfigured?: boolean;
}

function admit(scene: Scene) {
  const access: RequestedAccess = {
    host: 'shop.example',
    path: scene.path ?? '/stock/1',
    apiKey: scene.apiKey,
  };
  const knowledge = {
    configuration:
      scene.isConfigured === false ? undefined : createConfiguration(),
    ageMilliseconds: scene.age ?? 100,
  };
  const admission = admitRequest(
    access,
    knowledge,
    BOUNDS,
    () => scene.drawn ?? 0,
  );
  if (admission.kind === 'admitted') {
    const {route, service, organisation} = admission;
    return [route.name, service.name, organisation?.name];
  }
  const {answer} = admission;
  return answer.kind === 'rejected' ? answer.status : answer.kind;
}

describe('admitRequest', () => {
  it('finds the organisation of a key', () => {
    assert.deepEqual(admit({apiKey: 'key-1'}), ['stock', 'desk', 'quilters']);
  });

  it('asks for no key on a public route', () => {
    assert.deepEqual(admit({path: '/open/'}), ['open', 'desk', undefined]);
  });

  it('draws services by their weights', () => {
    const draw = (drawn: number) =>
      admit({path: '/split/', apiKey: 'key-1', drawn});
    assert.deepEqual(draw(0.89), ['split', 'desk', 'quilters']);
    assert.deepEqual(draw(0.91), ['split', 'text', 'quilters']);
  });

  it('denies what is not there', () => {
    assert.equal(admit({path: '/other/'}), 404);
    assert.equal(admit({apiKey: 'key-2'}), 401);
    assert.equal(admit({}), 401);
  });

  describe('out of touch with the store', () => {
    it('denies nothing that may have been added meanwhile', () => {
      assert.equal(admit({path: '/other/', age: 2_500}), 'not_run');
      assert.equal(admit({apiKey: 'key-2', age: 2_500}), 'not_run');
    });

    it('takes no key that may have been revoked meanwhile', () => {
      assert.deepEqual(admit({apiKey: 'key-1', age: 4_499}), [
        'stock',
        'desk',
        'quilters',
      ]);
      assert.equal(admit({apiKey: 'key-1', age: 4_500}), 'not_run');
    });

    it('goes on with public routes', () => {
      const scene = {path: '/open/', age: 60_000};
      assert.deepEqual(admit(scene), ['open', 'desk', undefined]);
    });
  });

  it('has not run what came before the first configuration', () => {
    assert.equal(admit({isConfigured: false}), 'not_run');
  });
});
