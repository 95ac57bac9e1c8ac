/**
 * Tests the server of callers: guards against callers that wait for ever because
 * the handler of their request has thrown.
 */
import assert from 'node:assert/strict';
import http from 'node:http';
import {afterEach, describe, it} from 'node:test';

import {MONOTONIC_CLOCK} from '@briarpin/coordination';

import type {Dialect} from '../dialect/dialect.js';
import type {OpenRequest} from '../open_request/open_request.js';
import {Shutdown} from '../shutdown/shutdown.js';
import {CallerServer} from './caller_server.js';

const silent = () => undefined;

let server: CallerServer | undefined;

/** Sends a request to a server whose handler throws; resolves to its end. */
async function sendToFailingHandler(
  beforeFailure: (open: OpenRequest) => Promise<void>,
): Promise<{events: string[]; end: string}> {
  const events: string[] = [];
  const record = (event: string) => void events.push(event);
  server = new CallerServer(
    {
      clock: MONOTONIC_CLOCK,
      logger: {error: record, warn: record, info: silent, debug: silent},
      dialect: {readRequest: () => ({})} as unknown as Dialect,
      shutdown: new Shutdown(MONOTONIC_CLOCK),
    },
    {
      serve: async open => {
        await beforeFailure(open);
        throw new Error('a defect');
      },
      retryAfterMilliseconds: () => 0,
    },
  );
  const port = await server.listen({host: '127.0.0.1', port: 0});
  const end = await new Promise<string>(resolve => {
    const request = http.get({host: '127.0.0.1', port}, response => {
      response.resume();
      response.on('error', () => resolve('cut'));
      response.on('end', () => resolve('complete'));
    });
    request.on('error', () => resolve('no response'));
  });
  return {events, end};
}

describe('CallerServer', () => {
  afterEach(() => server?.close());

  describe('with a handler that throws', () => {
    it('closes the connection and logs the defect', async () => {
      const {events, end} = await sendToFailingHandler(() => Promise.resolve());
      assert.equal(end, 'no response');
      assert.deepEqual(events, ['request_handler_failed']);
    });

    it('does not let a response that has begun look complete', async () => {
      const {end} = await sendToFailingHandler(async ({response}) => {
        response.writeHead(200);
        await new Promise(resolve => response.write('a part', resolve));
        await MONOTONIC_CLOCK.sleep(20);
      });
      assert.equal(end, 'cut');
    });
  });
});
