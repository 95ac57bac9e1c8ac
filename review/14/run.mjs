/**
 * Two of twelve model servers crash and start again under their identifiers with
 * the same software. The store does the last heartbeats from before the crash
 * late. Then a release replaces the other ten by servers of another version.
 * Compares the streams that clients take up with the new streams that begin.
 */
import {setTimeout} from 'node:timers';
import {URL} from 'node:url';
import {Gateway, sleep} from '../stand_ins_3/gateway.mjs';
import {ModelServer} from '../stand_ins_3/model_server.mjs';
import {Store} from '../stand_ins_3/store.mjs';
import {sendAttempt} from '../stand_ins_3/stream_client.mjs';
import {
  HAS_TROUBLE,
  createConfiguration,
  runCase,
} from '../stand_ins_3/case_run.mjs';

const GATEWAYS = 4;
const SERVERS = 12;
const CRASHED_SERVERS = 2;
const STREAMS = 96;
const NEW_STREAMS = 40;
const DEADLINE_MILLISECONDS = 39_000;

/** Servers that a release replaces at a time, and the time between. */
const RELEASED_AT_ONCE = 2;
const RELEASE_GAP_MILLISECONDS = 1_000;

/** Time from the notice of a server until its end. */
const LEAVING_MILLISECONDS = 6_500;

/** Time that a client waits before it takes its stream up. */
const WAIT_MILLISECONDS = 200;

/** Least number of streams taken up for the rule to apply. */
const LEAST_STREAMS = 12;

await runCase(
  new URL('.', import.meta.url),
  async ({log, folder, stoppers}) => {
    const store = new Store();
    await store.start();
    stoppers.push(() => store.stop());
    store.put('keyed.op', 'config', createConfiguration({}));
    const startServer = async (index, version) => {
      const server = new ModelServer({
        id: `i-7f3a91${index.toString(16).padStart(2, '0')}`,
        service: 'huvo11a',
        version,
        events: 550,
        eventMs: 60,
        firstMs: 60,
        store,
        log,
      });
      await server.start();
      stoppers.push(() => server.stop());
      return server;
    };
    const servers = [];
    for (let index = 0; index < SERVERS; index += 1) {
      servers.push(await startServer(index, 'v1'));
    }
    const gateways = Array.from(
      {length: GATEWAYS},
      (_, index) =>
        new Gateway({name: `front-${index + 1}`, store, folder, log}),
    );
    for (const gateway of gateways) {
      stoppers.push(() => gateway.stop());
      await gateway.start();
    }
    await sleep(2_000);
    const kept = servers.slice(0, CRASHED_SERVERS);
    const replaced = servers.slice(CRASHED_SERVERS);
    // The store gives no answer to these writes, and does them late.
    const lateEntries = kept.map(server => server.createEntry());
    if (HAS_TROUBLE) {
      kept.forEach(server => server.crash());
      await sleep(1_000);
      await Promise.all(kept.map(server => server.start()));
    }
    await sleep(1_000);
    const streams = Array.from({length: STREAMS}, (_, index) =>
      readStream(index, gateways, log),
    );
    await sleep(2_700);
    if (HAS_TROUBLE) {
      log('the store does the last writes from before the crash, 4.7 s late');
      kept.forEach((server, index) =>
        store.put('keyed.servers', server.id, lateEntries[index]),
      );
    }
    await sleep(5_000);
    log('the store and the servers have been calm for 5 s; a release begins');
    for (let index = 0; index < replaced.length; index += 1) {
      await startServer(SERVERS + index, 'v2');
      replaced[index].drain();
      setTimeout(() => {
        log(`server ${replaced[index].id} leaves`);
        replaced[index].stop();
      }, LEAVING_MILLISECONDS);
      if (index % RELEASED_AT_ONCE === RELEASED_AT_ONCE - 1) {
        await sleep(RELEASE_GAP_MILLISECONDS);
      }
    }
    await sleep(LEAVING_MILLISECONDS);
    const fresh = await Promise.all(
      Array.from({length: NEW_STREAMS}, (_, index) =>
        sendAttempt({
          port: gateways[index % GATEWAYS].ports.front,
          path: '/pufi791/short',
          id: `new${index}`.padStart(16, '0'),
          deadlineMs: 6_000,
        }),
      ),
    );
    const begun = fresh.filter(({events}) => events.length > 0).length;
    const results = await Promise.all(streams);
    const taken = results.filter(({wasTakenUp}) => wasTakenUp);
    const resumed = taken.filter(({wentOn}) => wentOn);
    const share = taken.length === 0 ? 1 : resumed.length / taken.length;
    const serving = kept.filter(server => server.isListening).length;
    return {
      broken:
        taken.length >= LEAST_STREAMS && share < (0.5 * begun) / NEW_STREAMS,
      text: `${resumed.length} of ${taken.length} streams that were taken up went on, while ${serving} servers of their version serve; ${begun} of ${NEW_STREAMS} new streams began`,
    };
  },
);

/** Reads a stream; takes it up once, at another gateway, after a break. */
async function readStream(index, gateways, log) {
  const firstId = `${index}a`.padStart(16, '0');
  const send = (id, shift, earlier) =>
    sendAttempt({
      port: gateways[(index + shift) % gateways.length].ports.front,
      path: '/pufi791/2f',
      id,
      deadlineMs: DEADLINE_MILLISECONDS,
      ...earlier,
    });
  const describe = ({id, status, error, events, isComplete, body}) =>
    `client attempt ${id}: status ${status || error}, ${events.length} events of ${events[0]?.software}, complete: ${isComplete} ${body ?? ''}`;
  const first = await send(firstId, 0);
  log(describe(first));
  if (first.isComplete) {
    return {wasTakenUp: false, wentOn: false};
  }
  await sleep(WAIT_MILLISECONDS);
  const shift = 1 + (Math.floor(index / gateways.length) % 3);
  const second = await send(`${index}b`.padStart(16, '0'), shift, {
    lastEventId: first.events.at(-1)?.id,
    resumes: firstId,
  });
  log(`takes up ${firstId}: ${describe(second)}`);
  return {wasTakenUp: true, wentOn: second.events.length > 0};
}
