/**
 * Trial, no case: a client sends a request behind a stream, 1 s after SIGTERM, and
 * before the stream has ended.
 */
import net from 'node:net';
import {URL} from 'node:url';
import {Gateway, sleep} from '../stand_ins_3/gateway.mjs';
import {ModelServer} from '../stand_ins_3/model_server.mjs';
import {Store} from '../stand_ins_3/store.mjs';
import {KEY} from '../stand_ins_3/stream_client.mjs';
import {
  HAS_TROUBLE,
  createConfiguration,
  runCase,
} from '../stand_ins_3/case_run.mjs';

await runCase(
  new URL('.', import.meta.url),
  async ({log, folder, stoppers}) => {
    const store = new Store();
    await store.start();
    stoppers.push(() => store.stop());
    store.put('keyed.op', 'config', createConfiguration({Resumable: false}));
    const server = new ModelServer({
      id: 'i-7f3a91c2',
      service: 'huvo11a',
      version: 'v1',
      events: 200,
      eventMs: 60,
      firstMs: 50,
      store,
      log,
    });
    await server.start();
    stoppers.push(() => server.stop());
    const gateway = new Gateway({name: 'front-1', store, folder, log});
    stoppers.push(() => gateway.stop());
    await gateway.start();
    await sleep(5_000);
    let answers = '';
    const socket = net.connect(gateway.ports.front, '127.0.0.1');
    const closed = new Promise(resolve => socket.once('close', resolve));
    socket.on('data', bytes => (answers += bytes.toString('latin1')));
    socket.on('error', () => undefined);
    socket.write(format('stream', '2f'));
    await sleep(500);
    if (HAS_TROUBLE) {
      gateway.signal('SIGTERM');
    }
    await sleep(1_000);
    socket.write(format('pipelined', 'short'));
    await Promise.race([closed, sleep(16_000)]);
    const count = answers.match(/HTTP\/1\.1 \d+/g)?.length ?? 0;
    return {broken: count < 2, text: `${count} of 2 requests got an answer`};
  },
);

function format(id, path) {
  return [
    `POST /pufi791/${path} HTTP/1.1`,
    'Host: ficu95.example',
    `X-Briarpin-Request-Id: ${id}`,
    'X-Briarpin-Deadline-Ms: 39000',
    `Authorization: Token ${KEY}`,
    'Content-Length: 1',
    '',
    'x',
  ].join('\r\n');
}
