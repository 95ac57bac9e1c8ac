/**
 * Tests of connections that are opened ahead.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {PreparingAgent} from './preparing_agent.js';

describe('PreparingAgent', () => {
  let server: http.Server;
  let agent: PreparingAgent;
  let port: number;
  let connections: Socket[];

  beforeEach(async () => {
    connections = [];
    server = http.createServer((_, response) => response.end('answer'));
    server.on('connection', socket => connections.push(socket));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    port = (server.address() as AddressInfo).port;
    agent = new PreparingAgent();
  });

  afterEach(() => {
    agent.destroy();
    server.close();
    server.closeAllConnections();
  });

  const target = () => ({host: '127.0.0.1', port});

  function ask(): Promise<number> {
    return new Promise((resolve, reject) => {
      const request = http.request({...target(), agent}, response => {
        response.resume();
        response.once('end', () => resolve(response.statusCode ?? 0));
      });
      request.once('error', reject);
      request.end();
    });
  }

  it('uses the prepared connection, once', async () => {
    const connected = once(server, 'connection');
    agent.prepare(target());
    await connected;
    assert.equal(await ask(), 200);
    assert.equal(connections.length, 1);
    assert.equal(await ask(), 200);
    assert.equal(connections.length, 2);
  });

  it('prepares one connection at a time', async () => {
    const connected = once(server, 'connection');
    agent.prepare(target());
    agent.prepare(target());
    await connected;
    await ask();
    assert.equal(connections.length, 1);
  });

  it('opens another one when the endpoint has closed it', async () => {
    const connected = once(server, 'connection');
    agent.prepare(target());
    await connected;
    const closed = once(connections[0] as Socket, 'close');
    connections[0]?.resetAndDestroy();
    await closed;
    // The reset has reached the agent once another exchange has been made.
    await askApart(target());
    assert.equal(await ask(), 200);
  });

  it('fails the request whose prepared connection is refused', async () => {
    server.close();
    server.closeAllConnections();
    await once(server, 'close');
    agent.prepare(target());
    await assert.rejects(ask(), /ECONNREFUSED/);
  });
});

/** Makes an exchange on a connection of its own. */
function askApart(target: {host: string; port: number}): Promise<void> {
  return new Promise((resolve, reject) => {
    http
      .get({...target, agent: false}, response => {
        response.resume();
        response.once('end', () => resolve());
      })
      .once('error', reject);
  });
}
