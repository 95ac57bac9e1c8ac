/**
 * Tests the head of a response as it arrives: whole or in pieces, on a first or a
 * kept connection, behind other heads.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {after, afterEach, before, describe, it} from 'node:test';

import {GuardedAgent} from '../guarded_agent/guarded_agent.js';
import {trackResponseHead} from './track_response_head.js';

const BODY = 'hello';
const LENGTH = `Content-Length: ${BODY.length}`;
const SOUND = `HTTP/1.1 200 OK\r\n${LENGTH}\r\n\r\n${BODY}`;
const STATUS_000 = `HTTP/1.1 000 OK\r\n${LENGTH}\r\n\r\n${BODY}`;

/** What a request comes to: its body, or what is wrong with the head. */
type Outcome = {readonly body: string} | {readonly fault: string};

describe('trackResponseHead', () => {
  let answer = SOUND;
  let pieceBytes = Number.POSITIVE_INFINITY;
  let connections = 0;
  const agent = new GuardedAgent({keepAlive: true});
  const server = net.createServer(socket => {
    connections += 1;
    socket.on('error', () => undefined);
    socket.on('data', () => void write(socket));
  });

  async function write(socket: net.Socket): Promise<void> {
    const bytes = Buffer.from(answer, 'latin1');
    const size = Math.min(pieceBytes, bytes.length);
    for (let start = 0; start < bytes.length; start += size) {
      socket.write(bytes.subarray(start, start + size));
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  function send(maximumBytes?: number): Promise<Outcome> {
    const {port} = server.address() as AddressInfo;
    return new Promise((resolve, reject) => {
      const request = http.get({host: '127.0.0.1', port, agent});
      const head = trackResponseHead(request, maximumBytes);
      request.on('error', reject);
      request.on('response', response => {
        if (head.fault !== undefined) {
          resolve({fault: head.fault});
          request.destroy();
          return;
        }
        let body = '';
        response.setEncoding('utf8');
        response.on('data', (text: string) => (body += text));
        response.on('end', () => resolve({body}));
      });
    });
  }

  before(async () => {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    answer = SOUND;
    pieceBytes = Number.POSITIVE_INFINITY;
  });

  after(() => {
    agent.destroy();
    server.close();
  });

  for (const size of [1, 7, Number.POSITIVE_INFINITY]) {
    describe(`in pieces of ${size} bytes`, () => {
      for (const [description, text] of [
        ['a plain head', SOUND],
        ['blank lines before it', `\r\n\r\n${SOUND}`],
        [
          'informational heads before it',
          `HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 102 P\r\n\r\n${SOUND}`,
        ],
        [
          'a text of other bytes',
          SOUND.replace(
            'OK',
            'tr\xe8s\tbien\r\nEmpty:\r\nText: d\xe9j\xe0\tvu',
          ),
        ],
        ['no reason', SOUND.replace(' OK', '')],
      ] as const) {
        it(`accepts ${description}`, async () => {
          pieceBytes = size;
          answer = text;
          assert.deepEqual(await send(), {body: BODY});
        });
      }

      it('refuses one with an odd status', async () => {
        pieceBytes = size;
        answer = STATUS_000;
        const fault = 'the answer has a malformed status line';
        assert.deepEqual(await send(), {fault});
      });

      it('refuses one that is odd behind an informational one', async () => {
        pieceBytes = size;
        answer = `HTTP/1.1 103 Early Hints\r\n\r\n${STATUS_000}`;
        const fault = 'the answer has a malformed status line';
        assert.deepEqual(await send(), {fault});
      });
    });
  }

  // Guards against bytes of an earlier response that count as part of a head.
  it('judges each head on a kept connection alone', async () => {
    await send();
    const before = connections;
    for (let count = 0; count < 3; count += 1) {
      assert.deepEqual(await send(), {body: BODY});
    }
    answer = STATUS_000;
    assert.ok('fault' in (await send()));
    assert.equal(connections, before);
  });

  it('ends a request that gets many bytes and no head', async () => {
    answer = 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(100);
    await assert.rejects(send(1_000), /no head of a response in many bytes/);
  });
});
