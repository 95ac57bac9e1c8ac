/**
 * Tests where a stream that a caller takes up may go on: guards against another
 * service or version than the one where it began.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {Route, RoutedService, StreamOrigin} from '@briarpin/coordination';

import {computeTakeUpTime} from '../compute_take_up_time/compute_take_up_time.js';
import type {RequestMetadata} from '../dialect/dialect.js';
import {resolveStreamOrigin} from './resolve_stream_origin.js';

const ORIGIN: StreamOrigin = {service: 'text', softwareVersion: 'v1'};
const METADATA: RequestMetadata = {
  promptTokens: 0,
  maximumOutputTokens: 0,
  promptParts: [],
};

function createService(name: string): RoutedService {
  return {name, healthPath: '/health'} as unknown as RoutedService;
}

function createRoute(services: readonly string[]): Route {
  return {
    isStream: true,
    timeoutMilliseconds: 6_000,
    services: services.map(service => ({service, weight: 1})),
  } as unknown as Route;
}

/** Resolves a request that was admitted to the first service of its route. */
function resolve(
  metadata: Partial<RequestMetadata>,
  services: readonly [string, ...string[]],
  {
    known,
    only,
    hasJoined = false,
    isReadInTime = true,
  }: {
    known?: StreamOrigin;
    only?: string;
    /** Whether a read finds that another version has joined. */
    hasJoined?: boolean;
    isReadInTime?: boolean;
  } = {},
) {
  const asked: number[] = [];
  let hasRead = false;
  const resolution = resolveStreamOrigin(
    {...METADATA, ...metadata},
    {
      kind: 'admitted',
      route: createRoute(services),
      service: createService(services[0]),
    },
    {
      streamOrigins: {find: () => Promise.resolve(known)} as never,
      endpoints: {
        findOnlySoftwareVersion: (_service: string, milliseconds: number) => {
          asked.push(milliseconds);
          return hasRead && hasJoined ? undefined : only;
        },
      } as never,
      endpointsRead: {
        wait: () => {
          hasRead = true;
          return Promise.resolve(isReadInTime);
        },
      },
      findService: createService,
    },
  );
  return {resolution, asked};
}

describe('resolveStreamOrigin', () => {
  it('leaves a new stream free to choose', async () => {
    const resolution = await resolve({}, ['text']).resolution;
    assert.equal(resolution.kind, 'resolved');
    assert.ok(resolution.kind === 'resolved');
    assert.equal(resolution.origin, undefined);
  });

  it('keeps a stream at its service where the route has several', async () => {
    const resolution = await resolve(
      {resumedRequestId: 'r'},
      ['trial', 'text'],
      {known: ORIGIN},
    ).resolution;
    assert.ok(resolution.kind === 'resolved');
    assert.equal(resolution.service.name, 'text');
    assert.deepEqual(resolution.origin, ORIGIN);
  });

  it('rejects a stream whose route leads to other services', async () => {
    const resolution = await resolve({resumedRequestId: 'r'}, ['trial'], {
      known: ORIGIN,
    }).resolution;
    assert.ok(resolution.kind === 'rejected');
    assert.equal(resolution.errorResponse.kind, 'not_run');
  });

  it('rejects a stream of unknown origin though there is one version', async () => {
    const resolution = await resolve({resumedRequestId: 'r'}, ['text'], {
      only: 'v1',
    }).resolution;
    assert.equal(resolution.kind, 'rejected');
  });

  describe('of a stream that its caller does not name', () => {
    it('takes the only version of the time in which it may have begun', async () => {
      const {resolution, asked} = resolve(
        {lastEventId: '3', deadlineMilliseconds: 9_000},
        ['text'],
        {only: 'v1'},
      );
      const resolved = await resolution;
      assert.ok(resolved.kind === 'resolved');
      assert.deepEqual(resolved.origin, ORIGIN);
      const timeout = {timeoutMilliseconds: 6_000};
      const deadline = {deadlineMilliseconds: 9_000};
      const time = computeTakeUpTime(timeout, deadline);
      assert.deepEqual(asked, [time, time]);
    });

    // Guards against a machine that was out of step while endpoints of another
    // version joined, and takes the version that it knows for the only one.
    it('rejects it where a read finds a version that joined meanwhile', async () => {
      const {resolution} = resolve({lastEventId: '3'}, ['text'], {
        only: 'v1',
        hasJoined: true,
      });
      assert.equal((await resolution).kind, 'rejected');
    });

    it('rejects it while the endpoints cannot be read', async () => {
      const {resolution} = resolve({lastEventId: '3'}, ['text'], {
        only: 'v1',
        isReadInTime: false,
      });
      assert.equal((await resolution).kind, 'rejected');
    });

    it('rejects it where there were several', async () => {
      const {resolution} = resolve({lastEventId: '3'}, ['text']);
      assert.equal((await resolution).kind, 'rejected');
    });

    it('rejects it where it may have begun at another service', async () => {
      const {resolution} = resolve({lastEventId: '3'}, ['text', 'trial'], {
        only: 'v1',
      });
      assert.equal((await resolution).kind, 'rejected');
    });
  });
});
