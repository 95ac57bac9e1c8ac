/**
 * Every request that a stopping gateway has read gets a whole answer before the
 * process ends, and the process ends within its grace period.
 */
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

import {AdministrationClient} from '@briarpin/messages';
import {credentials} from '@grpc/grpc-js';

import {Fleet, type FleetGateway} from '../fleet/fleet.js';
import {callService, requestCompletion} from '../fleet/gateway_client.js';
import {openCall} from '../fleet/open_call.js';
import {RawConnection} from '../fleet/raw_connection.js';
import {
  createTestPlan,
  KEY,
  LOCATION,
  MODEL,
  RESERVATION_PATH,
} from './test_plan.js';

const GRACE_MILLISECONDS = 2_000;
/** Time for which a call or a stream of these tests would go on by itself. */
const ENDLESS_MILLISECONDS = 20_000;
const ENDLESS_TOKENS = 5_000;
const SHORT_CALL_MILLISECONDS = 600;
/** Time in which a request that was sent has reached its endpoint. */
const ARRIVAL_MILLISECONDS = 200;
const LARGE_BODY_BYTES = 900_000;
const BODY_PARTS = 30;

describe('a stopping gateway', () => {
  let fleet: Fleet;
  let gatewayCount = 0;

  before(async () => {
    fleet = await Fleet.start(
      createTestPlan({
        gateways: 1,
        engines: 1,
        serviceSidecars: 1,
        gatewaySettings: {shutdownGraceMilliseconds: GRACE_MILLISECONDS},
      }),
    );
  });

  after(() => fleet.stop());

  async function startGateway(): Promise<FleetGateway> {
    gatewayCount += 1;
    const gateway = await fleet.startGateway(
      `stopping-${gatewayCount}`,
      LOCATION,
    );
    await fleet.waitForEndpoints(gateway, ['modelo-1', 'plataforma-1']);
    await gateway.process.waitFor('configuration');
    return gateway;
  }

  function reserve(gateway: FleetGateway, milliseconds: number) {
    const service = fleet.service('plataforma');
    service.setFault({kind: 'slow', milliseconds});
    return callService({
      gateway: gateway.url,
      key: KEY,
      method: 'POST',
      path: RESERVATION_PATH,
      body: {seats: 1},
    });
  }

  /** Sends a signal; returns the exit code and the time until the end. */
  async function stop(gateway: FleetGateway, signal: NodeJS.Signals) {
    const signalledAt = Date.now();
    gateway.process.signal(signal);
    const limit = sleep(2 * GRACE_MILLISECONDS, 'running' as const, {
      ref: false,
    });
    const code = await Promise.race([gateway.process.exited, limit]);
    return {code, milliseconds: Date.now() - signalledAt};
  }

  function assertEndedInTime(end: Awaited<ReturnType<typeof stop>>): void {
    assert.equal(end.code, 0);
    assert.ok(end.milliseconds <= GRACE_MILLISECONDS, `${end.milliseconds} ms`);
  }

  function assertRefused(connection: RawConnection): void {
    const {received, error} = connection;
    assert.match(received, /HTTP\/1\.1 503 /, error);
    assert.match(received, /\r\nRetry-After: [1-9]/);
    assert.match(received, /"outcome":"not_run"/);
    assert.match(received, /\}\}$/);
  }

  function formatHead(contentLength: number): string {
    return (
      `POST ${RESERVATION_PATH} HTTP/1.1\r\nHost: gateway\r\n` +
      `Authorization: Bearer ${KEY}\r\n` +
      `Content-Length: ${contentLength}\r\n\r\n`
    );
  }

  it('answers a call that its endpoint still runs before the grace period ends', async () => {
    const gateway = await startGateway();
    const pending = reserve(gateway, ENDLESS_MILLISECONDS);
    await sleep(ARRIVAL_MILLISECONDS);
    const end = await stop(gateway, 'SIGTERM');
    assertEndedInTime(end);
    const response = await pending;
    assert.equal(response.status, 502);
    assert.equal(response.error?.outcome, 'unknown');
  });

  it('ends a stream that goes on with event: error before the grace period ends', async () => {
    const gateway = await startGateway();
    let markStarted: () => void = () => undefined;
    const started = new Promise<void>(resolve => (markStarted = resolve));
    const pending = requestCompletion({
      gateway: gateway.url,
      key: KEY,
      model: MODEL,
      prompt: `endless len=${ENDLESS_TOKENS} seed=1`,
      stream: true,
      onEvent: markStarted,
    });
    await started;
    assertEndedInTime(await stop(gateway, 'SIGTERM'));
    const response = await pending;
    assert.equal(response.complete, false);
    assert.equal(response.error?.outcome, 'unknown');
  });

  it('answers a whole completion that still runs before the grace period ends', async () => {
    const gateway = await startGateway();
    const pending = requestCompletion({
      gateway: gateway.url,
      key: KEY,
      model: MODEL,
      prompt: `endless whole len=${ENDLESS_TOKENS} seed=2`,
    });
    await sleep(ARRIVAL_MILLISECONDS);
    assertEndedInTime(await stop(gateway, 'SIGTERM'));
    const response = await pending;
    assert.equal(response.status, 502);
    assert.equal(response.error?.outcome, 'unknown');
  });

  it('answers a request whose body does not come', async () => {
    const gateway = await startGateway();
    const connection = await RawConnection.open(gateway.url);
    connection.send(`${formatHead(100)}{"seats":`);
    await sleep(ARRIVAL_MILLISECONDS);
    assertEndedInTime(await stop(gateway, 'SIGTERM'));
    await connection.closed;
    assertRefused(connection);
  });

  it('answers a request whose head does not come whole', async () => {
    const gateway = await startGateway();
    const connection = await RawConnection.open(gateway.url);
    connection.send(formatHead(100).slice(0, 60));
    await sleep(ARRIVAL_MILLISECONDS);
    assertEndedInTime(await stop(gateway, 'SIGTERM'));
    await connection.closed;
    assertRefused(connection);
  });

  it('answers a request whose head comes in two parts around the signal', async () => {
    const gateway = await startGateway();
    const connection = await RawConnection.open(gateway.url);
    const head = formatHead(0);
    connection.send(head.slice(0, 60));
    await sleep(ARRIVAL_MILLISECONDS);
    const ended = stop(gateway, 'SIGTERM');
    await sleep(ARRIVAL_MILLISECONDS);
    connection.send(head.slice(60));
    assertEndedInTime(await ended);
    await connection.closed;
    assertRefused(connection);
  });

  it('lets a refused caller read the answer while it still sends its body', async () => {
    const gateway = await startGateway();
    const connection = await RawConnection.open(gateway.url);
    const pending = reserve(gateway, SHORT_CALL_MILLISECONDS);
    await sleep(ARRIVAL_MILLISECONDS);
    const ended = stop(gateway, 'SIGTERM');
    await gateway.process.waitFor('leaving');
    connection.pauseReading();
    connection.send(formatHead(LARGE_BODY_BYTES));
    for (let part = 0; part < BODY_PARTS; part += 1) {
      connection.send('x'.repeat(LARGE_BODY_BYTES / BODY_PARTS));
      await sleep(5);
    }
    connection.resumeReading();
    await connection.closed;
    assertRefused(connection);
    assert.equal(connection.error, undefined);
    assert.equal((await pending).status, 200);
    assertEndedInTime(await ended);
  });

  it('tells a caller whose call it still runs that the connection closes', async () => {
    const gateway = await startGateway();
    const connection = await RawConnection.open(gateway.url);
    const service = fleet.service('plataforma');
    service.setFault({kind: 'slow', milliseconds: SHORT_CALL_MILLISECONDS});
    connection.send(formatHead(0));
    await sleep(ARRIVAL_MILLISECONDS);
    assertEndedInTime(await stop(gateway, 'SIGTERM'));
    await connection.closed;
    assert.match(connection.received, /HTTP\/1\.1 200 /);
    assert.match(connection.received, /\r\nConnection: close\r\n/i);
  });

  it('answers every call of a connection whose caller sends requests ahead', async () => {
    const gateway = await startGateway();
    const connection = await RawConnection.open(gateway.url);
    const service = fleet.service('plataforma');
    service.setFault({kind: 'slow', milliseconds: SHORT_CALL_MILLISECONDS});
    connection.send(formatHead(0).repeat(2));
    await sleep(ARRIVAL_MILLISECONDS);
    const ended = stop(gateway, 'SIGTERM');
    await gateway.process.waitFor('leaving');
    connection.send(formatHead(0));
    assertEndedInTime(await ended);
    await connection.closed;
    const statuses = connection.received.match(/HTTP\/1\.1 \d+/g);
    assert.deepEqual(statuses, [
      'HTTP/1.1 200',
      'HTTP/1.1 200',
      'HTTP/1.1 503',
    ]);
  });

  it('ends although a caller that sent requests ahead has gone', async () => {
    const gateway = await startGateway();
    const connection = await RawConnection.open(gateway.url);
    const service = fleet.service('plataforma');
    service.setFault({kind: 'slow', milliseconds: SHORT_CALL_MILLISECONDS});
    connection.send(formatHead(0).repeat(3));
    await sleep(ARRIVAL_MILLISECONDS);
    connection.close();
    await sleep(SHORT_CALL_MILLISECONDS);
    const status = await fetch(`${gateway.url}/readyz`);
    const {running} = (await status.json()) as {running?: number};
    assert.equal(running ?? 0, 0);
    assertEndedInTime(await stop(gateway, 'SIGTERM'));
  });

  it('finishes a call although SIGTERM and SIGINT come again', async () => {
    const gateway = await startGateway();
    const pending = reserve(gateway, SHORT_CALL_MILLISECONDS);
    await sleep(ARRIVAL_MILLISECONDS);
    const ended = stop(gateway, 'SIGTERM');
    gateway.process.signal('SIGTERM');
    await gateway.process.waitFor('leaving');
    gateway.process.signal('SIGTERM');
    gateway.process.signal('SIGINT');
    assert.equal((await pending).status, 200);
    assertEndedInTime(await ended);
  });

  it('finishes a call after SIGINT', async () => {
    const gateway = await startGateway();
    const pending = reserve(gateway, SHORT_CALL_MILLISECONDS);
    await sleep(ARRIVAL_MILLISECONDS);
    assertEndedInTime(await stop(gateway, 'SIGINT'));
    assert.equal((await pending).status, 200);
  });

  it('counts the grace period from SIGTERM after a drain of the operator', async () => {
    const gateway = await startGateway();
    const pending = reserve(gateway, ENDLESS_MILLISECONDS);
    await sleep(ARRIVAL_MILLISECONDS);
    const started = await gateway.process.waitFor('started');
    const client = new AdministrationClient(
      `127.0.0.1:${started['internal_port']}`,
      credentials.createInsecure(),
    );
    await new Promise<void>((resolve, reject) =>
      client.drain({}, error => (error === null ? resolve() : reject(error))),
    );
    client.close();
    await sleep(GRACE_MILLISECONDS);
    assertEndedInTime(await stop(gateway, 'SIGTERM'));
    assert.equal((await pending).error?.outcome, 'unknown');
  });

  it('refuses a request on a connection never used before', async () => {
    const gateway = await startGateway();
    const connection = await RawConnection.open(gateway.url);
    const pending = reserve(gateway, SHORT_CALL_MILLISECONDS);
    await sleep(ARRIVAL_MILLISECONDS);
    const ended = stop(gateway, 'SIGTERM');
    await gateway.process.waitFor('leaving');
    connection.send(formatHead(0));
    await connection.closed;
    assertRefused(connection);
    assert.equal((await pending).status, 200);
    assertEndedInTime(await ended);
  });

  it('refuses a request behind a stream that began before the signal', async () => {
    const gateway = await startGateway();
    const connection = await RawConnection.open(gateway.url);
    const body = JSON.stringify({
      model: MODEL,
      prompt: 'before len=100 seed=3',
      stream: true,
    });
    connection.send(
      'POST /v1/completions HTTP/1.1\r\nHost: gateway\r\n' +
        `Authorization: Bearer ${KEY}\r\n` +
        `Content-Length: ${body.length}\r\n\r\n${body}`,
    );
    await sleep(ARRIVAL_MILLISECONDS);
    const ended = stop(gateway, 'SIGTERM');
    await gateway.process.waitFor('leaving');
    connection.send(formatHead(0));
    await connection.closed;
    assert.match(connection.received, /data: \[DONE\]/);
    assertRefused(connection);
    assertEndedInTime(await ended);
  });

  it('runs no request that comes between the last answer and the exit', async () => {
    const gateway = await startGateway();
    const connections = await Promise.all(
      Array.from({length: 60}, () => RawConnection.open(gateway.url)),
    );
    const pending = reserve(gateway, SHORT_CALL_MILLISECONDS);
    await sleep(ARRIVAL_MILLISECONDS);
    const callsBefore = fleet.service('plataforma').ledger.length;
    const ended = stop(gateway, 'SIGTERM');
    await gateway.process.waitFor('leaving');
    for (const connection of connections) {
      connection.send(formatHead(0));
      await sleep(10);
    }
    assertEndedInTime(await ended);
    assert.equal((await pending).status, 200);
    assert.equal(fleet.service('plataforma').ledger.length, callsBefore);
    const answered = connections.filter(({received}) => received !== '');
    assert.ok(answered.length > 10, `${answered.length} answered`);
    answered.forEach(assertRefused);
    connections.forEach(connection => connection.close());
  });

  it('waits for a slow reader of an answer', async () => {
    const gateway = await startGateway();
    fleet.service('plataforma').setFault({kind: 'slow', milliseconds: 0});
    const connections = await Promise.all(
      Array.from({length: 8}, () => RawConnection.open(gateway.url)),
    );
    const body = JSON.stringify({echo: 'x'.repeat(LARGE_BODY_BYTES)});
    for (const connection of connections) {
      connection.pauseReading();
      connection.send(`${formatHead(body.length)}${body}`);
    }
    await sleep(5 * ARRIVAL_MILLISECONDS);
    const ended = stop(gateway, 'SIGTERM');
    await sleep(SHORT_CALL_MILLISECONDS);
    connections.forEach(connection => connection.resumeReading());
    await Promise.all(connections.map(({closed}) => closed));
    for (const {received, error} of connections) {
      assert.match(received, /HTTP\/1\.1 200 /, error);
      assert.ok(received.length > LARGE_BODY_BYTES, `${received.length}`);
    }
    assertEndedInTime(await ended);
  });

  it('ends within its grace period beside a caller that reads nothing', async () => {
    const gateway = await startGateway();
    fleet.service('plataforma').setFault({kind: 'slow', milliseconds: 0});
    const connection = await RawConnection.open(gateway.url);
    connection.pauseReading();
    const body = JSON.stringify({echo: 'x'.repeat(LARGE_BODY_BYTES)});
    const request = `${formatHead(body.length)}${body}`;
    connection.send(request.repeat(10));
    await sleep(5 * ARRIVAL_MILLISECONDS);
    assertEndedInTime(await stop(gateway, 'SIGTERM'));
    connection.close();
  });

  it('ends within its grace period beside a call of a peer that never ends', async () => {
    const gateway = await startGateway();
    const started = await gateway.process.waitFor('started');
    const call = openCall(started['internal_port'] ?? '');
    await sleep(ARRIVAL_MILLISECONDS);
    assertEndedInTime(await stop(gateway, 'SIGTERM'));
    call.close();
  });
});
