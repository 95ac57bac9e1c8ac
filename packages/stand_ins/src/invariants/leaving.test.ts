/**
 * A leaving endpoint receives no new requests, and a graceful shutdown
 * interrupts no request.
 *
 * Guards against streams cut by SIGTERM, and against requests routed to a
 * leaving endpoint when only the membership list or only its sidecar reports
 * that it is leaving.
 */
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';

import {expectedText, requestCompletion} from '../fleet/gateway_client.js';
import {Fleet} from '../fleet/fleet.js';
import {createTestPlan, KEY, LOCATION, MODEL} from './test_plan.js';

const STREAMS = 100;
const TOKENS_PER_STREAM = 250;
const PROPAGATION_LIMIT_MILLISECONDS = 3_000;

describe('graceful shutdown', () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await Fleet.start(createTestPlan({gateways: 2, engines: 3}));
  });

  after(() => fleet.stop());

  /** Starts streams and waits until each has received its first event. */
  async function startStreams(name: string, gateways: readonly string[]) {
    let started = 0;
    let allStarted: () => void = () => undefined;
    const whenStarted = new Promise<void>(resolve => (allStarted = resolve));
    const pending = Array.from({length: STREAMS}, async (_, index) => {
      const seed = `${name.length}${index}`;
      let isFirst = true;
      const response = await requestCompletion({
        gateway: gateways[index % gateways.length] ?? '',
        key: KEY,
        model: MODEL,
        prompt: `${name} len=${TOKENS_PER_STREAM} seed=${seed}`,
        stream: true,
        onEvent: () => {
          started += isFirst ? 1 : 0;
          isFirst = false;
          if (started === STREAMS) {
            allStarted();
          }
        },
      });
      return {response, expected: expectedText(TOKENS_PER_STREAM, seed)};
    });
    await whenStarted;
    return pending;
  }

  function assertComplete(
    results: readonly Awaited<
      Awaited<ReturnType<typeof startStreams>>[number]
    >[],
  ): void {
    for (const {response, expected} of results) {
      assert.equal(response.complete, true, JSON.stringify(response.error));
      assert.equal(response.text, expected);
    }
  }

  it('finishes 100 streams before a terminated sidecar exits', async () => {
    const pending = await startStreams('sidecar', fleet.gatewayUrls);
    const sidecar = fleet.sidecar('modelo-1');
    sidecar.signal('SIGTERM');
    await sidecar.waitFor('leaving');
    const leavingAt = Date.now();
    const laterResponses = await Promise.all(
      Array.from({length: 30}, (_, index) =>
        requestCompletion({
          gateway: fleet.gatewayUrls[index % 2] ?? '',
          key: KEY,
          model: MODEL,
          prompt: `late len=20 seed=${index}`,
        }),
      ),
    );
    assert.ok(laterResponses.every(({complete}) => complete));
    assertComplete(await Promise.all(pending));
    assert.equal(await sidecar.exited, 0);
    const received = fleet
      .engine('modelo-1')
      .ledger.filter(entry => entry.startedAt > leavingAt);
    assert.deepEqual(received, []);
  });

  it('finishes 100 streams before a terminated gateway exits', async () => {
    const gateway = await fleet.startGateway('gateway-9', LOCATION);
    await fleet.waitForEndpoints(gateway, ['modelo-2', 'modelo-3']);
    const pending = await startStreams('gateway', [gateway.url]);
    gateway.process.signal('SIGTERM');
    assertComplete(await Promise.all(pending));
    assert.equal(await gateway.process.exited, 0);
  });

  it('routes no request to an instance 3 s after the list marks it as leaving', async () => {
    fleet.setMemberState('modelo-2', 'leaving');
    const markedAt = Date.now();
    await fleet.sidecar('modelo-2').waitFor('leaving');
    const responses = await Promise.all(
      Array.from({length: 30}, (_, index) =>
        requestCompletion({
          gateway: fleet.gatewayUrls[index % 2] ?? '',
          key: KEY,
          model: MODEL,
          prompt: `listed len=10 seed=${index}`,
        }),
      ),
    );
    assert.ok(responses.every(({complete}) => complete));
    const received = fleet
      .engine('modelo-2')
      .ledger.filter(
        entry => entry.startedAt > markedAt + PROPAGATION_LIMIT_MILLISECONDS,
      );
    assert.deepEqual(received, []);
    assert.ok(Date.now() - markedAt < 2 * PROPAGATION_LIMIT_MILLISECONDS);
  });

  it('routes no request to a leaving sidecar while the membership list is stale', async () => {
    const connected = [...fleet.gateways.values()]
      .filter(({process}) => process.instance !== 'gateway-9')
      .map(({process}) =>
        process.waitForNext(
          'endpoint_connected',
          fields => fields['endpoint'] === 'modelo-1',
        ),
      );
    const restarted = await fleet.restartSidecar('modelo-1');
    await Promise.all(connected);
    fleet.platform.setFault({kind: 'membership_frozen', on: true});
    restarted.signal('SIGTERM');
    await restarted.waitFor('leaving');
    const leavingAt = Date.now();
    const responses = await Promise.all(
      Array.from({length: 30}, (_, index) =>
        requestCompletion({
          gateway: fleet.gatewayUrls[index % 2] ?? '',
          key: KEY,
          model: MODEL,
          prompt: `lagging len=10 seed=${index}`,
        }),
      ),
    );
    fleet.platform.setFault({kind: 'membership_frozen', on: false});
    assert.deepEqual(
      responses.filter(({complete}) => !complete).map(({error}) => error),
      [],
    );
    const received = fleet
      .engine('modelo-1')
      .ledger.filter(entry => entry.startedAt > leavingAt);
    assert.deepEqual(received, []);
  });
});
