/**
 * Every token is delivered once, in order, and from a single generation.
 */
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';

import {
  askForCompletion,
  expectedText,
  type CallerAnswer,
  type CallerCompletion,
} from '../fleet/caller.js';
import {Fleet} from '../fleet/fleet.js';
import {createTestPlan, KEY, MODEL} from './test_plan.js';

const LENGTH = 400;

/** Asks for a stream and does something once some events have come. */
async function streamWithFault(
  gateway: string,
  seed: number,
  eventsBefore: number,
  fault: (generationId: string) => void,
  overrides: Partial<CallerCompletion> = {},
): Promise<CallerAnswer> {
  let events = 0;
  return askForCompletion({
    gateway,
    key: KEY,
    model: MODEL,
    prompt: `len=${LENGTH} seed=${seed}`,
    stream: true,
    onEvent: event => {
      events += 1;
      if (events === eventsBefore) {
        fault(event.id ?? '');
      }
    },
    ...overrides,
  });
}

/** The sidecar that runs the generation of an event. */
function instanceOf(eventId: string): string {
  return eventId.slice(0, eventId.indexOf('~'));
}

function assertOnceInOrder(eventIds: readonly string[], first = 0): void {
  const indices = eventIds.map(id => Number(id.slice(id.lastIndexOf(':') + 1)));
  assert.deepEqual(
    indices,
    indices.map((_, position) => first + position),
  );
  const generations = new Set(eventIds.map(id => id.split(':')[0]));
  assert.equal(generations.size, 1);
}

describe('tokens once, in order, from one generation', () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await Fleet.start(createTestPlan({gateways: 3}));
  });

  after(() => fleet.stop());

  it('when the gateway is killed and the caller resumes elsewhere', async () => {
    const {process, url} = fleet.gateway('gateway-3');
    const broken = await streamWithFault(url, 1, 50, () =>
      process.signal('SIGKILL'),
    );
    assert.equal(broken.complete, false);
    const lastEventId = broken.eventIds.at(-1) ?? '';
    const resumed = await askForCompletion({
      gateway: fleet.gateway('gateway-1').url,
      key: KEY,
      model: MODEL,
      prompt: `len=${LENGTH} seed=1`,
      stream: true,
      lastEventId,
    });
    assert.equal(resumed.complete, true);
    assert.equal(broken.text + resumed.text, expectedText(LENGTH, 1));
    assertOnceInOrder([...broken.eventIds, ...resumed.eventIds]);
  });

  it('when the caller breaks off and comes back to another gateway', async () => {
    const caller = new AbortController();
    const {url} = fleet.gateway('gateway-1');
    const broken = await streamWithFault(url, 8, 40, () => caller.abort(), {
      signal: caller.signal,
    });
    assert.equal(broken.complete, false);
    const resumed = await askForCompletion({
      gateway: fleet.gateway('gateway-2').url,
      key: KEY,
      model: MODEL,
      prompt: `len=${LENGTH} seed=8`,
      stream: true,
      lastEventId: broken.eventIds.at(-1) ?? '',
    });
    assert.equal(resumed.complete, true, JSON.stringify(resumed.error));
    assert.equal(broken.text + resumed.text, expectedText(LENGTH, 8));
    assertOnceInOrder([...broken.eventIds, ...resumed.eventIds]);
  });

  it('when the link to the engine is cut and heals', async () => {
    const {url} = fleet.gateway('gateway-1');
    const answer = await streamWithFault(url, 2, 50, id =>
      fleet.engine(instanceOf(id)).setFault({kind: 'cut_streams'}),
    );
    assert.equal(answer.complete, true, JSON.stringify(answer.error));
    assert.equal(answer.text, expectedText(LENGTH, 2));
    assertOnceInOrder(answer.eventIds);
  });

  it('when the sidecar is killed and replaced', async () => {
    const {url} = fleet.gateway('gateway-1');
    const answer = await streamWithFault(url, 3, 50, id => {
      const instance = instanceOf(id);
      fleet.sidecar(instance).signal('SIGKILL');
      void fleet.restartSidecar(instance);
    });
    assert.equal(answer.complete, true, JSON.stringify(answer.error));
    assert.equal(answer.text, expectedText(LENGTH, 3));
    assertOnceInOrder(answer.eventIds);
  });

  it('when the sidecar is frozen and continued', async () => {
    const {url} = fleet.gateway('gateway-2');
    const answer = await streamWithFault(url, 4, 50, id => {
      const sidecar = fleet.sidecar(instanceOf(id));
      sidecar.signal('SIGSTOP');
      setTimeout(() => sidecar.signal('SIGCONT'), 1_000);
    });
    assert.equal(answer.complete, true, JSON.stringify(answer.error));
    assert.equal(answer.text, expectedText(LENGTH, 4));
    assertOnceInOrder(answer.eventIds);
  });

  it('when the link and the gateway fail together', async () => {
    const gateway = await fleet.startGateway('gateway-4', {
      availabilityZone: 'cuyo-a',
      region: 'cuyo',
    });
    await fleet.waitForEndpoints(gateway, ['modelo-1', 'modelo-2']);
    const broken = await streamWithFault(gateway.url, 5, 50, id => {
      fleet.engine(instanceOf(id)).setFault({kind: 'cut_streams'});
      gateway.process.signal('SIGKILL');
    });
    const resumed = await askForCompletion({
      gateway: fleet.gateway('gateway-2').url,
      key: KEY,
      model: MODEL,
      prompt: `len=${LENGTH} seed=5`,
      stream: true,
      lastEventId: broken.eventIds.at(-1) ?? '',
    });
    assert.equal(broken.text + resumed.text, expectedText(LENGTH, 5));
    assertOnceInOrder([...broken.eventIds, ...resumed.eventIds]);
  });

  it('says so when the engine dies after the first token', async () => {
    const {url} = fleet.gateway('gateway-1');
    const answer = await streamWithFault(url, 6, 50, id =>
      fleet
        .engine(instanceOf(id))
        .setFault({kind: 'crash', downMilliseconds: 0}),
    );
    assert.equal(answer.complete, false);
    assert.equal(answer.error?.outcome, 'unknown');
    assert.ok(expectedText(LENGTH, 6).startsWith(answer.text));
    assertOnceInOrder(answer.eventIds);
  });

  it('runs a whole answer again when the engine dies under it', async () => {
    const engines = ['modelo-1', 'modelo-2'].map(name => fleet.engine(name));
    const answered = askForCompletion({
      gateway: fleet.gateway('gateway-1').url,
      key: KEY,
      model: MODEL,
      prompt: `len=${LENGTH} seed=7`,
    });
    const prompt = `len=${LENGTH} seed=7`;
    const find = () =>
      engines.find(({ledger}) =>
        ledger.some(entry => entry.prompt === prompt && entry.tokens > 50),
      );
    while (find() === undefined) {
      await new Promise(resolve => setImmediate(resolve));
    }
    find()?.setFault({kind: 'crash', downMilliseconds: 0});
    const answer = await answered;
    assert.equal(answer.complete, true, JSON.stringify(answer.error));
    assert.equal(answer.text, expectedText(LENGTH, 7));
  });
});
