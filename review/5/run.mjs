/**
 * A server leaves without a notice in its entry, and says so in its answers. One
 * of its heartbeats was done late by the store. The gateway sends it requests
 * again.
 */
import {
  BOUNDS,
  createConfiguration,
  runCase,
  sleep,
} from '../stand_ins/deployment.mjs';

/** A late write is done 1 to 6 s later. */
const LATE_MILLISECONDS = 4_000;
const ANSWER_MILLISECONDS = 200;
/** The server goes on for `DrainMs` and "a little longer". */
const SERVING_MILLISECONDS = 7_000;

await runCase(
  import.meta.url,
  createConfiguration(),
  async (deployment, hasTrouble) => {
    const answerMilliseconds = ANSWER_MILLISECONDS;
    const service = 'desk';
    const leaving = await deployment.startServer({
      id: 'desk-1',
      service,
      answerMilliseconds,
    });
    await deployment.startServer({id: 'desk-2', service, answerMilliseconds});
    await deployment.startServer({id: 'desk-3', service, answerMilliseconds});
    await deployment.startGateway('front-1');
    await deployment.startGateway('front-2');
    await sleep(2_000);
    if (hasTrouble) {
      await deployment.store.delayNextEntry('desk-1', LATE_MILLISECONDS);
      deployment.record('store: a write of desk-1 gets no answer');
    }
    const answers = [];
    const traffic = sendTraffic(deployment, answers);
    // It leaves while it runs a call, whose answer says so.
    const seen = leaving.runs.length;
    await deployment.waitFor('a call', () => leaving.runs.length > seen);
    leaving.order('leave_unannounced');
    await sleep(SERVING_MILLISECONDS);
    deployment.record('desk-1 ends');
    leaving.child.kill('SIGKILL');
    await traffic;
    return judge(deployment, answers, leaving);
  },
);

/** Sends a call every 150 ms, to both gateways in turn. */
async function sendTraffic(deployment, answers) {
  const requests = [
    {requestPath: '/stock/indigo'},
    {requestPath: '/hold/indigo', method: 'POST'},
  ];
  const pending = [];
  for (let index = 0; index < 60; index += 1) {
    const gateway = deployment.gateways[index % 2];
    const request = requests[Math.floor(index / 2) % 2];
    pending.push(
      deployment
        .send(gateway, request)
        .then(answer => answers.push({...answer, gateway: gateway.name})),
    );
    await sleep(150);
  }
  await Promise.all(pending);
}

/**
 * Finds the requests that reached the server from a gateway although the client
 * sent them later than `DrainMs` after that gateway had passed on an answer with
 * `Server-Leaving`.
 */
function judge(deployment, answers, leaving) {
  const passedAt = new Map();
  for (const {gateway, headers, endedAt} of answers) {
    if (headers?.['server-leaving'] !== undefined) {
      const before = passedAt.get(gateway) ?? Number.POSITIVE_INFINITY;
      passedAt.set(gateway, Math.min(before, endedAt));
    }
  }
  const runIds = new Set(leaving.runs.map(({id}) => id));
  const late = answers.filter(
    ({id, gateway, sentAt}) =>
      runIds.has(id) &&
      sentAt > (passedAt.get(gateway) ?? Infinity) + BOUNDS.drainMilliseconds,
  );
  const lost = answers.filter(({status}) => status !== 200);
  for (const [gateway, at] of passedAt) {
    deployment.record(
      `${gateway} passed on Server-Leaving first at ${(at / 1_000).toFixed(3)}`,
    );
  }
  for (const {id, gateway, sentAt, status} of late) {
    const seconds = (sentAt - passedAt.get(gateway)) / 1_000;
    deployment.record(
      `${id}, sent ${seconds.toFixed(2)} s after that, reached desk-1 from ` +
        `${gateway} and ended with ${status}`,
    );
  }
  deployment.record(
    `${answers.length} requests: ${late.length} reached desk-1 later than ` +
      `DrainMs after that, ${lost.length} failed`,
  );
  if (passedAt.size === 0) {
    throw new Error('no answer said that the server leaves');
  }
  return late.length === 0;
}
