/**
 * Trial, no case: all gateways are killed while the store is away, and it returns
 * from a copy that lacks the version which took a key away. `OPERATOR_MS` is the
 * time until the operator writes again (1,000 by default).
 */
import http from 'node:http';
import process from 'node:process';
import {URL} from 'node:url';
import {setTimeout} from 'node:timers';
import {Gateway, sleep} from '../stand_ins_3/gateway.mjs';
import {ModelServer} from '../stand_ins_3/model_server.mjs';
import {Store} from '../stand_ins_3/store.mjs';
import {KEY} from '../stand_ins_3/stream_client.mjs';
import {
  HAS_TROUBLE,
  createConfiguration,
  runCase,
} from '../stand_ins_3/case_run.mjs';

const REVOKED_KEY = 'wsjnbanfqasnmgkcuyj8';
const REVOKE_MILLISECONDS = 5_000;
const OPERATOR_MILLISECONDS = Number(process.env.OPERATOR_MS ?? 1_000);

await runCase(
  new URL('.', import.meta.url),
  async ({log, folder, stoppers}) => {
    const store = new Store();
    await store.start();
    stoppers.push(() => store.stop());
    const writeConfiguration = (version, keys) =>
      store.put('keyed.op', 'config', {
        ...createConfiguration({}),
        Version: version,
        Tenants: [{Name: 'huka270', ApiKeys: keys, Priority: 1}],
      });
    writeConfiguration(7, [KEY, REVOKED_KEY]);
    const server = new ModelServer({
      id: 'i-7f3a91c2',
      service: 'huvo11a',
      version: 'v1',
      events: 3,
      eventMs: 10,
      firstMs: 10,
      store,
      log,
    });
    await server.start();
    stoppers.push(() => server.stop());
    const gateways = [];
    for (const name of ['front-1', 'front-2', 'front-3', 'front-4']) {
      const gateway = new Gateway({name, store, folder, log});
      stoppers.push(() => gateway.stop());
      await gateway.start();
      gateways.push(gateway);
    }
    await sleep(1_500);
    const copy = store.copy();
    await sleep(500);
    writeConfiguration(9, [KEY]);
    const acknowledgedAt = Date.now();
    await sleep(3_600);
    if (HAS_TROUBLE) {
      log('the store is away, and all gateways are killed');
      store.mode = 'silent';
      gateways.forEach(gateway => gateway.signal('SIGKILL'));
      await sleep(800);
      gateways.forEach(gateway => gateway.launch());
      await sleep(100);
      store.mode = 'serves';
      store.restore(copy);
      server.register();
      log('the store is back from a copy');
      setTimeout(() => writeConfiguration(9, [KEY]), OPERATOR_MILLISECONDS);
    }
    const requests = [];
    while (Date.now() < acknowledgedAt + 8_000) {
      requests.push(
        ...(await Promise.all(gateways.map(({ports}) => send(ports.front)))),
      );
      await sleep(50);
    }
    const late = requests.filter(
      ({sentAt, status}) =>
        status === 200 && sentAt > acknowledgedAt + REVOKE_MILLISECONDS,
    );
    return {
      broken: late.length > 0,
      text: `${late.length} requests with the revoked key ran that were sent later than RevokeMs`,
    };
  },
);

/** Sends a request with the revoked key. */
function send(port) {
  const sentAt = Date.now();
  return new Promise(resolve => {
    const request = http.request(
      {
        host: '127.0.0.1',
        port,
        method: 'POST',
        path: '/pufi791/short',
        agent: false,
        headers: {
          Host: 'ficu95.example',
          'X-Briarpin-Request-Id': Math.random().toString(16).slice(2),
          'X-Briarpin-Deadline-Ms': '1000',
          Authorization: `Token ${REVOKED_KEY}`,
          'Content-Length': '1',
        },
      },
      response => {
        response.resume();
        response.on('close', () =>
          resolve({sentAt, status: response.statusCode}),
        );
      },
    );
    request.on('error', () => resolve({sentAt, status: 0}));
    request.end('x');
  });
}
