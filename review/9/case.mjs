/**
 * A server leaves without a notice: its entry is removed, and it serves on. The
 * streams that end there meanwhile, which have neither a length nor chunks, are
 * taken for broken, and their callers' connections are closed.
 */
import http from 'node:http';

import {readPieces, send} from '../stand_ins_2/client.mjs';
import {createConfiguration, PATHS} from '../stand_ins_2/deployment.mjs';
import {runCase} from '../stand_ins_2/script.mjs';
import {sleep} from '../stand_ins_2/store.mjs';

/** `StableMs` of the site: calm for so long, a machine is in touch. */
const STABLE_MILLISECONDS = 4_000;

/** One of seven servers leaves: within the share of 0.15 of the site. */
const SERVERS = 7;

/** Twelve for each server, which has 24 slots. */
const STREAMS = 84;
const PIECES = 30;

/** The streams last 4.6 s; the entry is removed shortly before they end. */
const LEAVING_MILLISECONDS = 4_200;

/** Closed connections that the rule allows. */
const ALLOWED_LOSSES = 3;

await runCase(import.meta.url, async ({store, gateways, servers, ...run}) => {
  const {note, runs, hasTrouble} = run;
  store.put('keyed.op', 'config', createConfiguration(7));
  const options = {framing: 'connection'};
  const leaving = await servers.start({id: 'i-1', ...options});
  for (let number = 2; number <= SERVERS; number += 1) {
    await servers.start({id: `i-${number}`, ...options});
  }
  await servers.start({id: 'i-desk', service: 'remnantdesk', slots: 6});
  const {callers: port} = await gateways.start('front-ishikari-1-1');
  await sleep(STABLE_MILLISECONDS + 1_000);

  const agents = Array.from(
    {length: STREAMS},
    () => new http.Agent({keepAlive: true, maxSockets: 1}),
  );
  for (const agent of agents) {
    const path = PATHS.stockpeek;
    const call = send({port, agent, path, method: 'GET', deadline: 800});
    const {status} = await call.done;
    if (status !== 200) {
      throw new Error('a call failed before the disruption');
    }
  }
  const path = PATHS.swatchtext;
  const streams = agents.map(agent =>
    send({port, agent, path, pieces: PIECES, deadline: 39_000}),
  );
  await sleep(LEAVING_MILLISECONDS);
  if (hasTrouble) {
    servers.leaveSilently(leaving);
  }
  const lost = [];
  for (const stream of streams) {
    const {id, status, isComplete, hasGivenUp, error} = await stream.done;
    const count = readPieces(stream).length;
    const servedBy = runs
      .filter(other => other.id === id)
      .map(({server}) => server);
    note(
      `stream ${id} at ${servedBy.join(' and ')}: status ${status}, ` +
        `${count} of ${PIECES} pieces, complete ${isComplete}, ` +
        `${error ?? 'no error'}`,
    );
    if (!isComplete && hasGivenUp !== true) {
      lost.push(
        `LOST: stream ${id}: the connection is closed without the end of the ` +
          `answer of ${servedBy.join(' and ')}`,
      );
    }
  }
  return lost.length > ALLOWED_LOSSES ? lost : [];
});
