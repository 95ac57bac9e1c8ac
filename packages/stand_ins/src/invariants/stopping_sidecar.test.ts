/**
 * A stopping sidecar answers what it has read and ends within its grace period.
 */
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

import {SidecarClient} from '@briarpin/messages';
import {credentials} from '@grpc/grpc-js';

import type {DaemonProcess} from '../fleet/daemon_process.js';
import {Fleet} from '../fleet/fleet.js';
import {
  callService,
  expectedText,
  requestCompletion,
} from '../fleet/gateway_client.js';
import {openCall} from '../fleet/open_call.js';
import {createTestPlan, KEY, MODEL, RESERVATION_PATH} from './test_plan.js';

const GRACE_MILLISECONDS = 2_000;
/** Time for which a call or a stream of these tests would go on by itself. */
const ENDLESS_MILLISECONDS = 20_000;
const ENDLESS_TOKENS = 5_000;
/** Time in which a request that was sent has reached its endpoint. */
const ARRIVAL_MILLISECONDS = 200;
const WAITING_CALLERS = 12;

describe('a stopping sidecar', () => {
  let fleet: Fleet;

  beforeEach(async () => {
    fleet = await Fleet.start(
      createTestPlan({
        gateways: 1,
        engines: 1,
        serviceSidecars: 1,
        engineOptions: {memoryCapacityTokens: 6_000},
        sidecarSettings: {shutdownGraceMilliseconds: GRACE_MILLISECONDS},
      }),
    );
  });

  afterEach(() => fleet.stop());

  /** Sends SIGTERM; returns the exit code and the time until the end. */
  async function stop(sidecar: DaemonProcess) {
    const signalledAt = Date.now();
    sidecar.signal('SIGTERM');
    const limit = sleep(2 * GRACE_MILLISECONDS, 'running' as const, {
      ref: false,
    });
    const code = await Promise.race([sidecar.exited, limit]);
    return {code, milliseconds: Date.now() - signalledAt};
  }

  function assertEndedInTime(end: Awaited<ReturnType<typeof stop>>): void {
    assert.equal(end.code, 0);
    assert.ok(end.milliseconds <= GRACE_MILLISECONDS, `${end.milliseconds} ms`);
  }

  function reserve() {
    return callService({
      gateway: fleet.gatewayUrls[0] ?? '',
      key: KEY,
      method: 'POST',
      path: RESERVATION_PATH,
      body: {seats: 1},
    });
  }

  it('answers a call that its service still runs before the grace period ends', async () => {
    fleet
      .service('plataforma')
      .setFault({kind: 'slow', milliseconds: ENDLESS_MILLISECONDS});
    const sentAt = Date.now();
    const pending = reserve().then(response => ({
      response,
      milliseconds: Date.now() - sentAt,
    }));
    await sleep(ARRIVAL_MILLISECONDS);
    assertEndedInTime(await stop(fleet.sidecar('plataforma-1')));
    const {response, milliseconds} = await pending;
    assert.equal(response.status, 502);
    assert.equal(response.error?.outcome, 'unknown');
    assert.match(response.error?.message ?? '', /sidecar ended/);
    assert.ok(milliseconds < ENDLESS_MILLISECONDS / 2, `${milliseconds} ms`);
  });

  it('answers not_run to a call that waits for its claim', async () => {
    fleet.platform.setFault({kind: 'outage', on: true});
    const pending = reserve();
    await sleep(ARRIVAL_MILLISECONDS);
    assertEndedInTime(await stop(fleet.sidecar('plataforma-1')));
    fleet.platform.setFault({kind: 'outage', on: false});
    const response = await pending;
    assert.equal(response.status, 503);
    assert.equal(response.error?.outcome, 'not_run');
    assert.match(response.headers['retry-after'] ?? '', /^[1-9]/);
    assert.deepEqual(fleet.service('plataforma').ledger, []);
  });

  it('ends within its grace period while a generation goes on', async () => {
    let markStarted: () => void = () => undefined;
    const started = new Promise<void>(resolve => (markStarted = resolve));
    const pending = requestCompletion({
      gateway: fleet.gatewayUrls[0] ?? '',
      key: KEY,
      model: MODEL,
      prompt: `endless len=${ENDLESS_TOKENS} seed=1`,
      stream: true,
      onEvent: markStarted,
    });
    await started;
    assertEndedInTime(await stop(fleet.sidecar('modelo-1')));
    const response = await pending;
    assert.equal(response.complete, false);
    assert.equal(response.error?.outcome, 'unknown');
  });

  it('leaves a generation that goes on to the next sidecar of its engine', async () => {
    const length = 1_000;
    let markStarted: () => void = () => undefined;
    const started = new Promise<void>(resolve => (markStarted = resolve));
    const pending = requestCompletion({
      gateway: fleet.gatewayUrls[0] ?? '',
      key: KEY,
      model: MODEL,
      prompt: `continued len=${length} seed=2`,
      stream: true,
      onEvent: markStarted,
    });
    await started;
    assertEndedInTime(await stop(fleet.sidecar('modelo-1')));
    await fleet.restartSidecar('modelo-1');
    const response = await pending;
    assert.equal(response.complete, true, JSON.stringify(response.error));
    assert.equal(response.text, expectedText(length, 2));
  });

  it('ends within its grace period beside a gateway that reads nothing', async () => {
    let markStarted: () => void = () => undefined;
    const started = new Promise<void>(resolve => (markStarted = resolve));
    const pending = requestCompletion({
      gateway: fleet.gatewayUrls[0] ?? '',
      key: KEY,
      model: MODEL,
      prompt: 'suspended len=2500 seed=3',
      stream: true,
      onEvent: markStarted,
    });
    await started;
    const gateway = fleet.gateway('gateway-1').process;
    gateway.signal('SIGSTOP');
    await sleep(ARRIVAL_MILLISECONDS);
    assertEndedInTime(await stop(fleet.sidecar('modelo-1')));
    gateway.signal('SIGCONT');
    assert.equal((await pending).complete, false);
  });

  it('ends within its grace period beside a stream that its peer never ends', async () => {
    const sidecar = fleet.sidecar('modelo-1');
    const port = (await sidecar.waitFor('started'))['internal_port'];
    const client = new SidecarClient(
      `127.0.0.1:${port}`,
      credentials.createInsecure(),
    );
    const stream = client.exchange();
    stream.on('error', () => undefined);
    stream.pause();
    await sleep(ARRIVAL_MILLISECONDS);
    assertEndedInTime(await stop(sidecar));
    client.close();
  });

  it('ends within its grace period beside a call of a peer that never ends', async () => {
    const sidecar = fleet.sidecar('modelo-1');
    const started = await sidecar.waitFor('started');
    const call = openCall(started['internal_port'] ?? '');
    await sleep(ARRIVAL_MILLISECONDS);
    assertEndedInTime(await stop(sidecar));
    call.close();
  });

  it('answers waiting generations not_run with the time to come back', async () => {
    const pending = Array.from({length: WAITING_CALLERS}, (_, index) =>
      requestCompletion({
        gateway: fleet.gatewayUrls[0] ?? '',
        key: KEY,
        model: MODEL,
        prompt: `waiting len=1500 seed=${index}`,
        maximumTokens: 1_500,
      }),
    );
    await sleep(ARRIVAL_MILLISECONDS);
    assertEndedInTime(await stop(fleet.sidecar('modelo-1')));
    const responses = await Promise.all(pending);
    const notRun = responses.filter(({error}) => error?.outcome === 'not_run');
    assert.ok(notRun.length > 0);
    for (const {status, headers} of notRun) {
      assert.equal(status, 503);
      assert.match(headers['retry-after'] ?? '', /^[1-9]/);
    }
  });
});
