/**
 * Tests of preconnections. They guard against preconnections that are
 * used twice, duplicated, or used after the server has closed them.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {PreconnectingAgent} from './preconnecting_agent.js';

describe('PreconnectingAgent', () => {
  let server: http.Server;
  let agent: PreconnectingAgent;
  let port: number;
  let connections: Socket[];

  beforeEach(async () => {
    connections = [];
    server = http.createServer((_, response) => response.end('answer'));
    server.on('connection', socket => connections.push(socket));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    port = (server.address() as AddressInfo).port;
    agent = new PreconnectingAgent();
  });

  afterEach(() => {
    agent.destroy();
    server.close();
    server.closeAllConnections();
  });

  const target = () => ({host: '127.0.0.1', port});

  function sendRequest(): Promise<number> {
    return new Promise((resolve, reject) => {
      const request = http.request({...target(), agent}, response => {
        response.resume();
        response.once('end', () => resolve(response.statusCode ?? 0));
      });
      request.once('error', reject);
      request.end();
    });
  }

  it('uses a preconnection for one request only', async () => {
    const connected = once(server, 'connection');
    agent.preconnect(target());
    await connected;
    assert.equal(await sendRequest(), 200);
    assert.equal(connections.length, 1);
    assert.equal(await sendRequest(), 200);
    assert.equal(connections.length, 2);
  });

  it('keeps at most one unused preconnection for a target', async () => {
    const connected = once(server, 'connection');
    agent.preconnect(target());
    agent.preconnect(target());
    await connected;
    await sendRequest();
    assert.equal(connections.length, 1);
  });

  it('opens a new connection when the server has closed the preconnection', async () => {
    const connected = once(server, 'connection');
    agent.preconnect(target());
    await connected;
    const closed = once(connections[0] as Socket, 'close');
    connections[0]?.resetAndDestroy();
    await closed;
    // The agent has received the reset once another request has completed.
    await requestWithoutAgent(target());
    assert.equal(await sendRequest(), 200);
  });

  it('fails the request when its preconnection is refused', async () => {
    server.close();
    server.closeAllConnections();
    await once(server, 'close');
    agent.preconnect(target());
    await assert.rejects(sendRequest(), /ECONNREFUSED/);
  });
});

/** Sends a request on a connection outside the agent. */
function requestWithoutAgent(target: {
  host: string;
  port: number;
}): Promise<void> {
  return new Promise((resolve, reject) => {
    http
      .get({...target, agent: false}, response => {
        response.resume();
        response.once('end', () => resolve());
      })
      .once('error', reject);
  });
}
