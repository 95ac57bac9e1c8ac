/**
 * A faulty model server spoils one of its streams: it begins an event that does
 * not end. The gateway that reads it hardly answers anything else.
 */
import {createConfiguration, runCase, sleep} from '../stand_ins/deployment.mjs';

/** One of two engines spoils 2 in 100 of its answers. */
const SPOILT_SHARE = 0.02;
/** Streams that begin later than this are not spoilt. */
const SPOILING_MILLISECONDS = 5_000;
const STREAMS = 100;
const CALL_INTERVAL_MILLISECONDS = 50;
const TRAFFIC_MILLISECONDS = 25_000;
/** `TimeoutMs` of the calls, and half a second. */
const TIMEOUT_MILLISECONDS = 1_000;
const LATE_MILLISECONDS = TIMEOUT_MILLISECONDS + 500;

await runCase(
  import.meta.url,
  createConfiguration(),
  async (deployment, hasTrouble) => {
    const engine = {service: 'pen', events: 4, spoiltShare: SPOILT_SHARE};
    const faulty = await deployment.startServer({id: 'pen-1', ...engine});
    await deployment.startServer({id: 'pen-2', ...engine});
    await deployment.startServer({id: 'desk-1', service: 'desk'});
    await deployment.startServer({id: 'desk-2', service: 'desk'});
    const gateway = await deployment.startGateway('front-1');
    await sleep(4_000);
    if (hasTrouble) {
      deployment.record('pen-1 begins to spoil answers');
      faulty.order('spoil');
      setTimeout(() => faulty.order('spoil_no_more'), SPOILING_MILLISECONDS);
    }
    const streams = sendStreams(deployment, gateway);
    const pending = [];
    const endsAt = deployment.now() + TRAFFIC_MILLISECONDS;
    for (let index = 0; deployment.now() < endsAt; index += 1) {
      pending.push(
        deployment.send(
          gateway,
          index % 4 === 0
            ? {requestPath: '/stock/indigo'}
            : {requestPath: '/hold/indigo', method: 'POST'},
        ),
      );
      await sleep(CALL_INTERVAL_MILLISECONDS);
    }
    const answers = await Promise.all(pending);
    await streams;
    const countAfter = milliseconds =>
      answers.filter(({sentAt, endedAt}) => endedAt - sentAt > milliseconds)
        .length;
    const unanswered = countAfter(TIMEOUT_MILLISECONDS);
    const late = countAfter(LATE_MILLISECONDS);
    if (hasTrouble && !deployment.lines.some(line => line.includes('spoils'))) {
      throw new Error('no answer was spoilt');
    }
    const lost = answers.filter(({status}) => status !== 200).length;
    deployment.record(
      `${answers.length} calls: ${unanswered} had no answer at TimeoutMs, ` +
        `${late} of these had none half a second later; ${lost} got no success`,
    );
    return late <= unanswered / 2;
  },
);

/** Sends streams of 0.4 s, one after the other, until one is spoilt. */
async function sendStreams(deployment, gateway) {
  const pending = [];
  for (let index = 0; index < STREAMS; index += 1) {
    pending.push(
      deployment.send(gateway, {
        method: 'POST',
        requestPath: '/text/lot',
        deadline: 39_000,
        headers: {'X-Briarpin-Model': 'm', 'X-Briarpin-Token-Counts': '300,16'},
      }),
    );
    await sleep(50);
  }
  await Promise.all(pending);
}
