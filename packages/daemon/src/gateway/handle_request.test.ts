/**
 * Tests a request whose handler throws.
 *
 * Guards against a caller that never gets an answer, and against a request that
 * counts as open for ever.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {after, before, describe, it} from 'node:test';

import type {GatewayDependencies} from './gateway_dependencies.js';
import {createRequestListener} from './handle_request.js';
import {OpenResponses} from './open_responses.js';

const TIMEOUT_MILLISECONDS = 2_000;

describe('createRequestListener', () => {
  const errors: string[] = [];
  const state = {
    isDraining: false,
    openRequests: 0,
    responses: new OpenResponses(),
  };
  const dependencies = {
    context: {
      replica: {isReady: true},
      logger: {error: (event: string) => errors.push(event)},
    },
    accessDirectory: {
      findOrganisation: () => 'quilters',
      isPlainService: () => {
        throw new Error('a defect');
      },
    },
  } as unknown as GatewayDependencies;
  const server = http.createServer(
    createRequestListener(dependencies, {
      state,
      status: () => assert.fail(),
      maximumOpenRequests: 10,
    }),
  );

  before(async () => {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  after(() => {
    server.close();
    server.closeAllConnections();
  });

  it('closes the connection of a request whose handler throws', async () => {
    const {port} = server.address() as AddressInfo;
    const signal = AbortSignal.timeout(TIMEOUT_MILLISECONDS);
    const url = `http://127.0.0.1:${port}/services/desk/1`;
    await assert.rejects(
      once(http.get(url, {signal, agent: false}), 'response', {signal}),
      {code: 'ECONNRESET'},
    );
    assert.deepEqual(errors, ['request_handler_failed']);
    assert.equal(state.openRequests, 0);
    assert.equal(state.responses.size, 0);
  });
});
