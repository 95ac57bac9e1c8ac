/**
 * Every token is delivered once, in order, and from a single generation.
 *
 * Guards against duplicated, missing or mixed tokens when a gateway, a
 * sidecar, an engine or a connection fails in the middle of a stream.
 */
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';

import {
  expectedText,
  requestCompletion,
  type CompletionRequest,
  type GatewayResponse,
} from '../fleet/gateway_client.js';
import {Fleet} from '../fleet/fleet.js';
import {createTestPlan, KEY, MODEL} from './test_plan.js';

const TOKENS_PER_STREAM = 400;

/** Requests a stream and injects a fault after a number of events. */
async function streamWithFault(
  gateway: string,
  seed: number,
  eventsBeforeFault: number,
  injectFault: (generationId: string) => void,
  overrides: Partial<CompletionRequest> = {},
): Promise<GatewayResponse> {
  let events = 0;
  return requestCompletion({
    gateway,
    key: KEY,
    model: MODEL,
    prompt: `len=${TOKENS_PER_STREAM} seed=${seed}`,
    stream: true,
    onEvent: event => {
      events += 1;
      if (events === eventsBeforeFault) {
        injectFault(event.id ?? '');
      }
    },
    ...overrides,
  });
}

/** Returns the instance that runs the generation of an event. */
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

describe('token delivery', () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await Fleet.start(createTestPlan({gateways: 3}));
  });

  after(() => fleet.stop());

  it('resumes a stream at another gateway after the gateway is killed', async () => {
    const {process, url} = fleet.gateway('gateway-3');
    const interrupted = await streamWithFault(url, 1, 50, () =>
      process.signal('SIGKILL'),
    );
    assert.equal(interrupted.complete, false);
    const lastEventId = interrupted.eventIds.at(-1) ?? '';
    const resumed = await requestCompletion({
      gateway: fleet.gateway('gateway-1').url,
      key: KEY,
      model: MODEL,
      prompt: `len=${TOKENS_PER_STREAM} seed=1`,
      stream: true,
      lastEventId,
    });
    assert.equal(resumed.complete, true);
    assert.equal(
      interrupted.text + resumed.text,
      expectedText(TOKENS_PER_STREAM, 1),
    );
    assertOnceInOrder([...interrupted.eventIds, ...resumed.eventIds]);
  });

  it('resumes a stream at another gateway after the caller disconnects', async () => {
    const caller = new AbortController();
    const {url} = fleet.gateway('gateway-1');
    const interrupted = await streamWithFault(
      url,
      8,
      40,
      () => caller.abort(),
      {signal: caller.signal},
    );
    assert.equal(interrupted.complete, false);
    const resumed = await requestCompletion({
      gateway: fleet.gateway('gateway-2').url,
      key: KEY,
      model: MODEL,
      prompt: `len=${TOKENS_PER_STREAM} seed=8`,
      stream: true,
      lastEventId: interrupted.eventIds.at(-1) ?? '',
    });
    assert.equal(resumed.complete, true, JSON.stringify(resumed.error));
    assert.equal(
      interrupted.text + resumed.text,
      expectedText(TOKENS_PER_STREAM, 8),
    );
    assertOnceInOrder([...interrupted.eventIds, ...resumed.eventIds]);
  });

  it('continues a stream after the connection to the engine breaks', async () => {
    const {url} = fleet.gateway('gateway-1');
    const response = await streamWithFault(url, 2, 50, id =>
      fleet.engine(instanceOf(id)).setFault({kind: 'cut_streams'}),
    );
    assert.equal(response.complete, true, JSON.stringify(response.error));
    assert.equal(response.text, expectedText(TOKENS_PER_STREAM, 2));
    assertOnceInOrder(response.eventIds);
  });

  it('continues a stream after the sidecar is killed and restarted', async () => {
    const {url} = fleet.gateway('gateway-1');
    const response = await streamWithFault(url, 3, 50, id => {
      const instance = instanceOf(id);
      fleet.sidecar(instance).signal('SIGKILL');
      void fleet.restartSidecar(instance);
    });
    assert.equal(response.complete, true, JSON.stringify(response.error));
    assert.equal(response.text, expectedText(TOKENS_PER_STREAM, 3));
    assertOnceInOrder(response.eventIds);
  });

  it('continues a stream after the sidecar is suspended and resumed', async () => {
    const {url} = fleet.gateway('gateway-2');
    const response = await streamWithFault(url, 4, 50, id => {
      const sidecar = fleet.sidecar(instanceOf(id));
      sidecar.signal('SIGSTOP');
      setTimeout(() => sidecar.signal('SIGCONT'), 1_000);
    });
    assert.equal(response.complete, true, JSON.stringify(response.error));
    assert.equal(response.text, expectedText(TOKENS_PER_STREAM, 4));
    assertOnceInOrder(response.eventIds);
  });

  it('resumes a stream after its gateway and engine connection fail together', async () => {
    const gateway = await fleet.startGateway('gateway-4', {
      availabilityZone: 'cuyo-a',
      region: 'cuyo',
    });
    await fleet.waitForEndpoints(gateway, ['modelo-1', 'modelo-2']);
    const interrupted = await streamWithFault(gateway.url, 5, 50, id => {
      fleet.engine(instanceOf(id)).setFault({kind: 'cut_streams'});
      gateway.process.signal('SIGKILL');
    });
    const resumed = await requestCompletion({
      gateway: fleet.gateway('gateway-2').url,
      key: KEY,
      model: MODEL,
      prompt: `len=${TOKENS_PER_STREAM} seed=5`,
      stream: true,
      lastEventId: interrupted.eventIds.at(-1) ?? '',
    });
    assert.equal(
      interrupted.text + resumed.text,
      expectedText(TOKENS_PER_STREAM, 5),
    );
    assertOnceInOrder([...interrupted.eventIds, ...resumed.eventIds]);
  });

  it('reports outcome unknown when the engine crashes after the first token', async () => {
    const {url} = fleet.gateway('gateway-1');
    const response = await streamWithFault(url, 6, 50, id =>
      fleet
        .engine(instanceOf(id))
        .setFault({kind: 'crash', downMilliseconds: 0}),
    );
    assert.equal(response.complete, false);
    assert.equal(response.error?.outcome, 'unknown');
    assert.ok(expectedText(TOKENS_PER_STREAM, 6).startsWith(response.text));
    assertOnceInOrder(response.eventIds);
  });

  it('retries a non-streaming request when the engine crashes', async () => {
    const engines = ['modelo-1', 'modelo-2'].map(name => fleet.engine(name));
    const pending = requestCompletion({
      gateway: fleet.gateway('gateway-1').url,
      key: KEY,
      model: MODEL,
      prompt: `len=${TOKENS_PER_STREAM} seed=7`,
    });
    const prompt = `len=${TOKENS_PER_STREAM} seed=7`;
    const findRunningEngine = () =>
      engines.find(({ledger}) =>
        ledger.some(entry => entry.prompt === prompt && entry.tokens > 50),
      );
    while (findRunningEngine() === undefined) {
      await new Promise(resolve => setImmediate(resolve));
    }
    findRunningEngine()?.setFault({kind: 'crash', downMilliseconds: 0});
    const response = await pending;
    assert.equal(response.complete, true, JSON.stringify(response.error));
    assert.equal(response.text, expectedText(TOKENS_PER_STREAM, 7));
  });
});
