/**
 * Tests the client of engines.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {after, before, describe, it} from 'node:test';

import {EngineClient} from './engine_client.js';

const CHUNK = Buffer.alloc(65_536, 'x');

/** Bytes that buffers and the client hold before a connection is closed. */
const MAXIMUM_WRITTEN_BYTES = 16_777_216;

describe('EngineClient', () => {
  let status = 200;
  let writtenBytes = 0;
  const server = http.createServer((_request, response) => {
    if (status === 0) {
      response.socket?.end('HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n');
      return;
    }
    if (status === 101) {
      response.socket?.end(
        'HTTP/1.1 101 Switching Protocols\r\n' +
          'Connection: Upgrade\r\nUpgrade: other\r\n\r\n',
      );
      return;
    }
    response.writeHead(status, {'content-type': 'text/event-stream'});
    const write = () => {
      while (!response.destroyed && writtenBytes < 2 * MAXIMUM_WRITTEN_BYTES) {
        writtenBytes += CHUNK.length;
        if (!response.write(writtenBytes === CHUNK.length ? 'data: ' : CHUNK)) {
          response.once('drain', write);
          return;
        }
      }
    };
    write();
  });

  before(async () => {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  after(() => {
    server.close();
    server.closeAllConnections();
  });

  // Guards against a generation that never ends, since its exchange has ended
  // without a response.
  it('ends when the engine switches protocols', async () => {
    status = 101;
    const {port} = server.address() as AddressInfo;
    const client = new EngineClient(`http://127.0.0.1:${port}`);
    const signal = AbortSignal.timeout(2_000);
    assert.equal((await client.resume('r', 0, signal).end).kind, 'broken');
    assert.equal(signal.aborted, false);
  });

  // Guards against a generation that is reported as not run, though its engine has
  // begun it and sent what is no answer.
  it('breaks off when the engine answers with an odd status', async () => {
    status = 0;
    const {port} = server.address() as AddressInfo;
    const client = new EngineClient(`http://127.0.0.1:${port}`);
    const signal = AbortSignal.timeout(2_000);
    assert.deepEqual(await client.resume('r', 0, signal).end, {
      kind: 'broken',
      message: 'the answer has a malformed status line',
    });
  });

  // Guards against one response of a faulty engine that fills the memory of the
  // sidecar and keeps it from all other requests.
  for (const [description, engineStatus] of [
    ['an event', 200],
    ['an error response', 500],
  ] as const) {
    it(`ends ${description} that does not end`, async () => {
      status = engineStatus;
      writtenBytes = 0;
      const {port} = server.address() as AddressInfo;
      const client = new EngineClient(`http://127.0.0.1:${port}`);
      const stream = client.resume('r', 0, new AbortController().signal);
      assert.equal((await stream.end).kind, 'broken');
      assert.ok(writtenBytes < MAXIMUM_WRITTEN_BYTES, `${writtenBytes} bytes`);
    });
  }
});
