/**
 * Tests how the end of a response is judged from its framing.
 *
 * Guards against a sound response that can have no body and counts as broken
 * off, because it has neither a length nor chunks.
 */
import assert from 'node:assert/strict';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {trackResponseEnd, type ResponseEnd} from './track_response_end.js';

/** How the server treats a connection after it has written its response. */
type Ending = 'keeps' | 'closes' | 'resets';

/** What a test learns from one request. */
interface Outcome {
  readonly end: ResponseEnd;
  /** True once the response reported its end. */
  readonly hasEnded: boolean;
}

let server: net.Server;
let answer: {readonly text: string; readonly ending: Ending};

/** Sends a request and waits until the response has ended or failed. */
function receive(method: string): Promise<Outcome> {
  const {port} = server.address() as AddressInfo;
  return new Promise((resolve, reject) => {
    const request = http.request({port, method, agent: false});
    request.on('error', reject);
    request.on('response', response => {
      const end = trackResponseEnd(response);
      let hasEnded = false;
      response.on('error', () => undefined);
      response.on('end', () => (hasEnded = true));
      response.on('close', () => resolve({end, hasEnded}));
      response.resume();
    });
    request.end();
  });
}

function endConnection(socket: net.Socket, ending: Ending): void {
  if (ending === 'closes') {
    socket.end();
  } else if (ending === 'resets') {
    socket.resetAndDestroy();
  }
}

describe('trackResponseEnd', () => {
  beforeEach(async () => {
    server = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () =>
        socket.write(answer.text, () => endConnection(socket, answer.ending)),
      );
    });
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
  });

  afterEach(() => void server.close());

  describe('of a response that can have no body', () => {
    const responses = [
      {name: '204', method: 'GET', status: '204 No Content'},
      {name: '304', method: 'GET', status: '304 Not Modified'},
      {name: 'a response to HEAD', method: 'HEAD', status: '200 OK'},
    ];
    for (const {name, method, status} of responses) {
      for (const ending of ['keeps', 'closes'] as const) {
        it(`takes ${name} as whole if its server ${ending} the connection`, async () => {
          const option = ending === 'closes' ? 'Connection: close\r\n' : '';
          answer = {text: `HTTP/1.1 ${status}\r\n${option}\r\n`, ending};
          const {end, hasEnded} = await receive(method);
          assert.equal(end.framing, 'none');
          assert.equal(hasEnded, true);
          assert.equal(end.isWhole(), true);
        });
      }
    }

    it('takes a response to HEAD that states a length as whole', async () => {
      answer = {
        text: 'HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n',
        ending: 'keeps',
      };
      const {end} = await receive('HEAD');
      assert.equal(end.isWhole(), true);
    });

    it('gives no response if the connection is reset inside the head', async () => {
      answer = {text: 'HTTP/1.1 204 No Content\r\nDate', ending: 'resets'};
      await assert.rejects(receive('GET'));
    });
  });

  describe('of a response that can have a body', () => {
    it('takes one that ends with its connection as whole', async () => {
      answer = {text: 'HTTP/1.1 200 OK\r\n\r\nbody', ending: 'closes'};
      const {end} = await receive('GET');
      assert.equal(end.framing, 'connection');
      assert.equal(end.isWhole(), true);
    });

    it('does not take one as whole whose connection is reset', async () => {
      answer = {text: 'HTTP/1.1 200 OK\r\n\r\nbody', ending: 'resets'};
      const {end} = await receive('GET');
      assert.equal(end.isWhole(), false);
    });

    it('does not take one as whole that ends before its length', async () => {
      answer = {
        text: 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody',
        ending: 'closes',
      };
      const {end} = await receive('GET');
      assert.equal(end.framing, 'length');
      assert.equal(end.isWhole(), false);
    });
  });
});
