/**
 * Tests the sending of attempts: guards against a request that is still sent
 * when its endpoint has asked for a pause while the connection was opened.
 */
import assert from 'node:assert/strict';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {after, before, describe, it} from 'node:test';

import type {Dialect} from '../dialect/dialect.js';
import {EndpointLimits} from '../endpoint_limits/endpoint_limits.js';
import {EndpointClient, type Attempt} from './endpoint_client.js';

const silent = () => undefined;
const LOGGER = {error: silent, warn: silent, info: silent, debug: silent};

describe('EndpointClient', () => {
  let requestCount = 0;
  const server = http.createServer((_request, response) => {
    requestCount += 1;
    response.end('ok');
  });
  const limits = new EndpointLimits({
    now: () => performance.now(),
    random: () => 0,
    logger: LOGGER,
    onLimitedRequest: silent,
  });
  const dialect = {
    readResponse: () => ({isSigned: true, isNotRun: false, isLeaving: false}),
  } as unknown as Dialect;
  const client = new EndpointClient(dialect, limits, {
    hasEnded: () => Promise.resolve(false),
    onRefused: () => undefined,
    onLeaving: silent,
    onSend: silent,
  });

  before(() => new Promise<void>(resolve => server.listen(0, resolve)));

  after(() => {
    client.close();
    server.close();
  });

  const createAttempt = (mayReuseConnection: boolean): Attempt => ({
    endpoint: {
      id: 'e',
      service: 'desk',
      host: '127.0.0.1',
      port: (server.address() as AddressInfo).port,
      availabilityZone: 'east-1',
      softwareVersion: 'v1',
      state: 'ready',
      slots: 1,
      coldMilliseconds: 0,
    },
    method: 'POST',
    path: '/',
    headers: [],
    body: Buffer.from('body'),
    mayReuseConnection,
    signal: new AbortController().signal,
  });

  for (const mayReuse of [true, false]) {
    it(`does not send on a ${mayReuse ? 'pooled' : 'single'} connection that opens within a pause`, async () => {
      const sending = client.send(createAttempt(mayReuse));
      limits.recordPause('e', 200);
      const result = await sending;
      assert.equal(result.kind, 'not_sent');
      assert.equal(requestCount, 0);
      await new Promise(resolve => setTimeout(resolve, 210));
    });
  }
});
