/**
 * Tests of small HTTP calls.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';

import {sendHttp} from './send_http.js';

/** Hands out connections that are never made, as to a peer that is cut off. */
class UnconnectedAgent extends http.Agent {
  createConnection(): net.Socket {
    return Object.assign(new net.Socket(), {connecting: true});
  }
}

describe('sendHttp', () => {
  it('gives up a call whose connection is never made', async () => {
    const answer = await sendHttp({
      url: new URL('http://127.0.0.1:1/'),
      method: 'GET',
      timeoutMilliseconds: 30,
      agent: new UnconnectedAgent(),
    });
    assert.ok(answer.isErr);
    assert.match(answer.error.message, /no answer in time/);
  });

  it('gives up a call that is not answered', async () => {
    const server = http.createServer(() => undefined);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const answer = await sendHttp({
      url: new URL(`http://127.0.0.1:${port}/`),
      method: 'GET',
      timeoutMilliseconds: 30,
      agent: new http.Agent(),
    });
    server.close();
    server.closeAllConnections();
    assert.ok(answer.isErr);
    assert.equal(answer.error.kind, 'unknown');
  });
});
