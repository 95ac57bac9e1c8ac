/**
 * Tests of the reports among gateways, over loopback. They guard against lost
 * fields, unknown senders that never get a report, and stale or malformed
 * reports that replace newer ones.
 */
import assert from 'node:assert/strict';
import dgram from 'node:dgram';
import {afterEach, describe, it} from 'node:test';

import {MONOTONIC_CLOCK} from '@briarpin/coordination';
import {GatewayNews} from '@briarpin/messages';

import {GatewayMesh, type ReceivedReport} from './gateway_mesh.js';

const ARRIVED = {
  endpoint: 'e-3',
  service: 'text',
  host: '10.0.0.3',
  port: 8_000,
  availabilityZone: 'east-1',
  slots: 4,
  coldMilliseconds: 0,
  startedAt: 6,
  sequence: 1,
  softwareVersion: 'v1',
};

const controllers: AbortController[] = [];
const runs: Array<Promise<void>> = [];

interface TestMesh {
  readonly mesh: GatewayMesh;
  readonly port: number;
  /** Resolves with the next report. */
  readonly next: () => Promise<ReceivedReport>;
  readonly count: () => number;
}

async function startMesh(gateway: string, requests: number): Promise<TestMesh> {
  const received: ReceivedReport[] = [];
  let resolveNext: ((report: ReceivedReport) => void) | undefined;
  const silent = () => undefined;
  const mesh = new GatewayMesh({
    gateway,
    host: '127.0.0.1',
    port: 0,
    clock: MONOTONIC_CLOCK,
    logger: {error: silent, warn: silent, info: silent, debug: silent},
    startedAt: 7,
    createReport: () => ({
      work: [
        {
          endpoint: 'e-1',
          requests,
          tokens: 9,
          movableRuns: 1,
          promptTokens: 4,
          eventMicroseconds: 12,
        },
      ],
      leaving: [{endpoint: 'e-2', startedAt: 3, hasNotice: true, sequence: 3}],
      arrived: [ARRIVED],
      doubtful: [],
      suspicions: [],
      limits: [],
      organisationWork: [{organisation: 'north', tokens: 8}],
      endpointsAgeMilliseconds: 12,
      storeAgeMilliseconds: 5,
    }),
    onReport: report => {
      received.push(report);
      resolveNext?.(report);
    },
  });
  const port = await mesh.listen();
  const end = new AbortController();
  controllers.push(end);
  return {
    mesh,
    port,
    next: () => new Promise(resolve => (resolveNext = resolve)),
    count: () => received.length,
  };
}

function run(mesh: GatewayMesh): void {
  const end = new AbortController();
  controllers.push(end);
  runs.push(mesh.run(end.signal));
}

describe('GatewayMesh', () => {
  afterEach(async () => {
    controllers.splice(0).forEach(end => end.abort());
    await Promise.all(runs.splice(0));
  });

  it('reports work, departures, arrivals and ages to its peers', async () => {
    const first = await startMesh('first', 5);
    const second = await startMesh('second', 6);
    run(second.mesh);
    first.mesh.setPeers([
      {gateway: 'second', host: '127.0.0.1', port: second.port},
    ]);
    const nextReport = second.next();
    run(first.mesh);
    const report = await nextReport;
    assert.equal(report.gateway, 'first');
    assert.equal(report.work.get('e-1')?.requests, 5);
    assert.equal(report.work.get('e-1')?.promptTokens, 4);
    assert.deepEqual(report.leaving[0]?.endpoint, 'e-2');
    assert.equal(second.mesh.findPeersWithRuns('e-1')[0]?.movableRuns, 1);
    assert.deepEqual(report.arrived, [ARRIVED]);
    assert.deepEqual(second.mesh.findGatewaysReachingStore(10_000), ['first']);
    assert.deepEqual(second.mesh.findGatewaysReachingStore(1), []);
    assert.ok(second.mesh.computeReceivedEndpointsAgeMilliseconds() >= 12);
    assert.equal(
      first.mesh.computeReceivedEndpointsAgeMilliseconds(),
      Number.POSITIVE_INFINITY,
    );
  });

  it('sends reports to a gateway that it discovered by its report', async () => {
    const first = await startMesh('first', 5);
    const second = await startMesh('second', 6);
    first.mesh.setPeers([
      {gateway: 'second', host: '127.0.0.1', port: second.port},
    ]);
    const nextReport = first.next();
    run(first.mesh);
    run(second.mesh);
    assert.equal((await nextReport).gateway, 'second');
  });

  it('ignores older and malformed reports', async () => {
    const mesh = await startMesh('first', 5);
    run(mesh.mesh);
    const sender = dgram.createSocket('udp4');
    const send = (message: Uint8Array) =>
      sender.send(message, mesh.port, '127.0.0.1');
    const encode = (startedAt: number, sequence: number) =>
      GatewayNews.encode(
        GatewayNews.fromPartial({gateway: 'other', startedAt, sequence}),
      ).finish();
    const newest = mesh.next();
    send(encode(5, 2));
    await newest;
    send(encode(5, 1));
    send(encode(4, 9));
    send(Buffer.from([0xff, 0xff, 0xff]));
    const restarted = mesh.next();
    send(encode(6, 1));
    await restarted;
    assert.equal(mesh.count(), 2);
    sender.close();
  });
});
