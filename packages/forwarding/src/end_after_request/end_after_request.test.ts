/**
 * Tests the end of a response whose caller still sends its request.
 *
 * Guards against a reset that discards a response before its caller reads it.
 */
import assert from 'node:assert/strict';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {endAfterRequest} from './end_after_request.js';

/** Bytes of a body that no socket buffer on loopback holds. */
const BODY_BYTES = 33_554_432;

describe('endAfterRequest', () => {
  let server: http.Server;

  beforeEach(async () => {
    server = http.createServer((_request, response) => {
      response.writeHead(503, {'Content-Length': 2});
      response.write('no');
      endAfterRequest(response);
    });
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
  });

  afterEach(() => void server.close());

  it('delivers the response to a caller that first sends its whole body', async () => {
    const {port} = server.address() as AddressInfo;
    const socket = net.connect(port, '127.0.0.1');
    let received = '';
    const closed = new Promise<Error | undefined>(resolve => {
      socket.once('error', resolve);
      socket.once('close', () => resolve(undefined));
    });
    socket.write(
      'POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n' +
        `Content-Length: ${BODY_BYTES}\r\n\r\n`,
    );
    socket.write(Buffer.alloc(BODY_BYTES), () =>
      socket.on('data', chunk => (received += chunk.toString())),
    );
    assert.equal(await closed, undefined);
    assert.match(received, /^HTTP\/1.1 503 [^]*\r\n\r\nno$/);
  });
});
