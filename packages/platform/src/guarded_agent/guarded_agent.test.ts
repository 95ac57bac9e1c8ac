/**
 * Tests kept connections to a server that writes its answers twice: the second
 * copy must never be the answer to the next request.
 */
import assert from 'node:assert/strict';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {afterEach, describe, it} from 'node:test';

import {sendHttp} from '../send_http/send_http.js';
import {GuardedAgent} from './guarded_agent.js';

/** Times from an answer to its second copy, in milliseconds. */
const COPY_DELAYS = [1, 20, 60];

/** Time between two requests. */
const PAUSE_MILLISECONDS = 100;

const REQUESTS = 6;

const servers: net.Server[] = [];

/**
 * Starts a server that answers each request with its path, twice.
 *
 * @param delay - Time from an answer to its copy
 * @param isSplit - True to send half of the copy only before the next answer
 */
async function startServer(delay: number, isSplit: boolean): Promise<number> {
  const server = net.createServer(socket => {
    let rest = '';
    socket.on('error', () => undefined);
    socket.on('data', data => {
      socket.write(rest);
      const [, path = ''] = data.toString().split(' ');
      const answer = `HTTP/1.1 200 OK\r\nContent-Length: ${path.length}\r\n\r\n${path}`;
      socket.write(answer);
      const splitAt = isSplit ? answer.length / 2 : answer.length;
      rest = answer.slice(splitAt);
      const copy = answer.slice(0, splitAt);
      setTimeout(() => socket.write(copy), delay);
    });
  });
  servers.push(server);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return (server.address() as AddressInfo).port;
}

async function readAnswers(port: number, agent: http.Agent): Promise<string[]> {
  const answers: string[] = [];
  for (let index = 0; index < REQUESTS; index += 1) {
    const response = await sendHttp({
      url: new URL(`http://127.0.0.1:${port}/${index}`),
      method: 'GET',
      agent,
      timeoutMilliseconds: 500,
    });
    answers.push(
      response.match({
        Ok: ({body}) => body.toString(),
        Err: ({message}) => message,
      }),
    );
    await new Promise(resolve => setTimeout(resolve, PAUSE_MILLISECONDS));
  }
  agent.destroy();
  return answers;
}

describe('GuardedAgent', () => {
  afterEach(() => servers.splice(0).forEach(server => server.close()));

  for (const delay of COPY_DELAYS) {
    for (const isSplit of [false, true]) {
      const part = isSplit ? 'half of an answer' : 'an answer';
      it(`drops a connection on which ${part} comes again after ${delay} ms`, async () => {
        const port = await startServer(delay, isSplit);
        const answers = await readAnswers(
          port,
          new GuardedAgent({keepAlive: true}),
        );
        assert.deepEqual(
          answers,
          Array.from({length: REQUESTS}, (_, index) => `/${index}`),
        );
      });
    }
  }
});
