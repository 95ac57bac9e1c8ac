/**
 * Tests kept connections to a server that writes its answers twice: guards
 * against a second copy, or a part of one, that meets the next request.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {sendHttp} from '../send_http/send_http.js';
import {GuardedAgent} from './guarded_agent.js';

const TIMEOUT_MILLISECONDS = 2_000;
const REQUESTS = 4;

/** Server that answers each request with its path. */
class RepeatingServer {
  connectionCount = 0;
  private socket: net.Socket | undefined;
  private lastAnswer = '';
  private readonly server = net.createServer(socket => {
    this.connectionCount += 1;
    this.socket = socket;
    socket.on('error', () => undefined);
    socket.on('data', data => {
      const [, path = ''] = data.toString().split(' ');
      this.lastAnswer = `HTTP/1.1 200 OK\r\nContent-Length: ${path.length}\r\n\r\n${path}`;
      socket.write(this.lastAnswer);
    });
  });

  async start(): Promise<void> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  stop(): void {
    this.socket?.destroy();
    this.server.close();
  }

  /** Writes a part of the last answer again; resolves when the caller closes. */
  async repeatAnswer(share: number): Promise<void> {
    assert.ok(this.socket);
    const closed = once(this.socket, 'close', {
      signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
    });
    this.socket.write(this.lastAnswer.slice(0, share * this.lastAnswer.length));
    await closed;
  }
}

describe('GuardedAgent', () => {
  let server: RepeatingServer;
  let agent: GuardedAgent;

  beforeEach(async () => {
    agent = new GuardedAgent({keepAlive: true});
    server = new RepeatingServer();
    await server.start();
  });

  afterEach(() => {
    agent.destroy();
    server.stop();
  });

  async function readAnswer(path: string): Promise<string> {
    const response = await sendHttp({
      url: new URL(`http://127.0.0.1:${server.port}${path}`),
      method: 'GET',
      agent,
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    });
    return response.match({
      Ok: ({body}) => body.toString(),
      Err: ({message}) => message,
    });
  }

  it('keeps a connection on which nothing else comes', async () => {
    assert.equal(await readAnswer('/0'), '/0');
    assert.equal(await readAnswer('/1'), '/1');
    assert.equal(server.connectionCount, 1);
  });

  for (const [part, share] of [
    ['an answer', 1],
    ['half of an answer', 0.5],
  ] as const) {
    it(`closes an idle connection on which ${part} comes again`, async () => {
      for (let index = 0; index < REQUESTS; index += 1) {
        assert.equal(await readAnswer(`/${index}`), `/${index}`);
        await server.repeatAnswer(share);
      }
    });
  }
});
