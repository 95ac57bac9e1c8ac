/**
 * Tests that an HTTP call times out when its connection is never established or
 * no response arrives, so that an unreachable peer cannot block the caller.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';

import {sendHttp} from './send_http.js';

/** Creates connections that are never established, as to a partitioned peer. */
class UnconnectedAgent extends http.Agent {
  createConnection(): net.Socket {
    return Object.assign(new net.Socket(), {connecting: true});
  }
}

describe('sendHttp', () => {
  it('times out when the connection is never established', async () => {
    const response = await sendHttp({
      url: new URL('http://127.0.0.1:1/'),
      method: 'GET',
      timeoutMilliseconds: 30,
      agent: new UnconnectedAgent(),
    });
    assert.ok(response.isErr);
    assert.match(response.error.message, /no answer in time/);
  });

  it('times out when no response arrives', async () => {
    const server = http.createServer(() => undefined);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const response = await sendHttp({
      url: new URL(`http://127.0.0.1:${port}/`),
      method: 'GET',
      timeoutMilliseconds: 30,
      agent: new http.Agent(),
    });
    server.close();
    server.closeAllConnections();
    assert.ok(response.isErr);
    assert.equal(response.error.kind, 'unknown');
  });

  // Guards against a call that waits for its timeout although its exchange has
  // ended without a response.
  it('ends when the server switches protocols', async () => {
    const server = http.createServer((request, response) => {
      response.socket?.end(
        'HTTP/1.1 101 Switching Protocols\r\n' +
          'Connection: Upgrade\r\nUpgrade: other\r\n\r\n',
      );
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const response = await sendHttp({
      url: new URL(`http://127.0.0.1:${port}/`),
      method: 'GET',
      timeoutMilliseconds: 5_000,
      agent: new http.Agent(),
    });
    server.close();
    server.closeAllConnections();
    assert.ok(response.isErr);
    assert.equal(response.error.kind, 'unknown');
    assert.match(response.error.message, /without a response/);
  });

  // Guards against what is no answer, which is believed as one.
  it('fails when the response has an odd status', async () => {
    const server = http.createServer((_request, response) => {
      response.socket?.write('HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n');
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const response = await sendHttp({
      url: new URL(`http://127.0.0.1:${port}/`),
      method: 'GET',
      timeoutMilliseconds: 5_000,
      agent: new http.Agent(),
    });
    server.close();
    server.closeAllConnections();
    assert.ok(response.isErr);
    assert.equal(response.error.kind, 'unknown');
    assert.match(response.error.message, /malformed status line/);
  });

  // Guards against a faulty server whose response fills the memory of the process
  // until the call times out.
  it('ends when the response is larger than allowed', async () => {
    const server = http.createServer((_request, response) => {
      response.write(Buffer.alloc(2_000));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const response = await sendHttp({
      url: new URL(`http://127.0.0.1:${port}/`),
      method: 'GET',
      timeoutMilliseconds: 5_000,
      maximumBytes: 1_000,
      agent: new http.Agent(),
    });
    server.close();
    server.closeAllConnections();
    assert.ok(response.isErr);
    assert.match(response.error.message, /too large/);
  });
});
