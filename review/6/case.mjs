/**
 * A server in trouble sends blank lines without end in two stream answers. The
 * gateway that reads them hangs, and then ends by itself.
 */
import http from 'node:http';
import process from 'node:process';

import {send} from '../stand_ins_2/client.mjs';
import {createConfiguration, PATHS} from '../stand_ins_2/deployment.mjs';
import {runCase} from '../stand_ins_2/script.mjs';
import {askReady} from '../stand_ins_2/gateways.mjs';
import {sleep} from '../stand_ins_2/store.mjs';

/** `StableMs` of the site: calm for so long, a machine is in touch. */
const STABLE_MILLISECONDS = 4_000;

/** `TimeoutMs` of the calls, and the time after it that the rule allows. */
const CALL_TIMEOUT_MILLISECONDS = 800;
const ANSWER_SLACK_MILLISECONDS = 500;

const CALL_INTERVAL_MILLISECONDS = 100;
const CALLS = 40;
const KEPT_CONNECTIONS = 12;

/**
 * Sound answers before: 72 of each model server, so that two spoilt ones are
 * within the share of 0.03 of its answers that `garble` spoils on this site.
 */
const EARLIER_WAVES = 6;
const STREAMS_OF_WAVE = 48;

/** Closed connections that the rule LOST allows. */
const ALLOWED_LOSSES = 3;

/** Answers that the server spoils. */
const SPOILT_ANSWERS = Number(process.env.ANSWERS ?? 2);

await runCase(import.meta.url, async ({store, gateways, servers, ...run}) => {
  const {note, hasTrouble} = run;
  store.put('keyed.op', 'config', createConfiguration(7));
  const bad = await servers.start({id: 'i-bad', firstMilliseconds: 1_500});
  for (const id of ['i-1', 'i-2', 'i-3']) {
    await servers.start({id, firstMilliseconds: 1_500});
  }
  const desk = {service: 'remnantdesk', slots: 6};
  await servers.start({id: 'i-4', ...desk});
  await servers.start({id: 'i-5', ...desk});
  const gateway = await gateways.start('front-ishikari-1-1');
  const port = gateway.callers;
  await sleep(STABLE_MILLISECONDS + 1_000);

  for (let wave = 0; wave < EARLIER_WAVES; wave += 1) {
    const path = PATHS.matchhint;
    const earlier = Array.from({length: STREAMS_OF_WAVE}, () =>
      send({port, path, pieces: 1, deadline: 6_000}),
    );
    await Promise.all(earlier.map(({done}) => done));
  }

  const agents = Array.from(
    {length: KEPT_CONNECTIONS},
    () => new http.Agent({keepAlive: true, maxSockets: 1}),
  );
  const first = agents.map(agent =>
    send({port, agent, path: PATHS.stockpeek, method: 'GET', deadline: 800}),
  );
  for (const call of first) {
    const {status} = await call.done;
    if (status !== 200) {
      throw new Error('a call failed before the disruption');
    }
  }
  if (hasTrouble) {
    note(`i-bad spoils its next ${SPOILT_ANSWERS} stream answers`);
    bad.child.send({spoil: SPOILT_ANSWERS});
  }
  const streams = agents.map(agent =>
    send({port, agent, path: PATHS.swatchtext, pieces: 20, deadline: 39_000}),
  );
  const calls = [];
  for (let count = 0; count < CALLS; count += 1) {
    calls.push(send({port, path: PATHS.holdlot, deadline: 3_000}));
    await sleep(CALL_INTERVAL_MILLISECONDS);
  }
  note(`readiness: ${await askReady(gateway.readiness, 1_000)} (0: none)`);
  await Promise.race([
    Promise.all(streams.map(({done}) => done)),
    sleep(30_000),
  ]);
  const {runs} = run;
  const isLost = ({id, status, endedAt, hasGivenUp}) =>
    runs.some(({server, ...other}) => other.id === id && server !== 'i-bad') &&
    status === 0 &&
    endedAt !== undefined &&
    hasGivenUp !== true;
  for (const {id, status, body, isComplete, error} of streams) {
    note(
      `stream ${id}: status ${status}, ${body.length} bytes, ` +
        `complete ${isComplete}, ${error ?? 'no error'}`,
    );
  }
  await Promise.all(calls.map(({done}) => done));
  const late = calls.filter(
    ({sentAt, endedAt}) => endedAt - sentAt > CALL_TIMEOUT_MILLISECONDS,
  );
  const unanswered = late.filter(
    ({sentAt, endedAt}) =>
      endedAt - sentAt > CALL_TIMEOUT_MILLISECONDS + ANSWER_SLACK_MILLISECONDS,
  );
  const ends = gateway.exits.map(({code, signal}) => signal ?? code);
  note(`the gateway has ended by itself: ${ends.join(', ') || 'no'}`);
  note(`calls: ${calls.length}, unanswered at TimeoutMs: ${late.length}`);
  note(`of these without an answer 500 ms later: ${unanswered.length}`);
  const lost = streams.filter(isLost);
  const broken = [];
  if (lost.length > ALLOWED_LOSSES) {
    broken.push(
      `LOST: ${lost.length} connections were closed without an answer after ` +
        'their request had been passed on to a sound server',
    );
  }
  if (unanswered.length * 2 > late.length) {
    broken.push(
      `CONFIG: ${unanswered.length} of ${late.length} calls had no answer ` +
        '500 ms after their TimeoutMs',
    );
  }
  return broken;
});
