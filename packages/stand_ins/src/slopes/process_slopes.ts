/**
 * Resource use of running processes, as reported by the operating system.
 */
import {readFileSync} from 'node:fs';

import {requestCompletion, callService} from '../fleet/gateway_client.js';
import {Fleet, type FleetPlan} from '../fleet/fleet.js';
import {createTestPlan, KEY, MODEL} from '../invariants/test_plan.js';
import {fitSlope, type Slope} from './measure.js';

const CLOCK_TICKS_PER_SECOND = 100;
const IDLE_MEASUREMENT_SECONDS = 8;
/** Time in which a process compiles its hot code. */
const WARM_UP_MILLISECONDS = 12_000;
const CPU_UNIT = 'percent of a core';
const BYTES_UNIT = 'bytes a second';
const PAGE_BYTES = 4_096;
const TOKENS_PER_STREAM = 300;

/** Cumulative processor time and current memory of a process. */
interface Usage {
  readonly cpuMilliseconds: number;
  readonly residentBytes: number;
}

/** Measures processes, each cost at four sizes. */
export async function measureProcesses(): Promise<readonly Slope[]> {
  return [
    ...(await measureControlTraffic()),
    ...(await measureStreams()),
    ...(await measureClaims()),
    await measureConfigurationPropagation(),
  ];
}

/**
 * Measures the cost of the control traffic: of a gateway by its number of
 * sidecars, and of a sidecar by its number of gateways.
 */
async function measureControlTraffic(): Promise<readonly Slope[]> {
  const cpu = [];
  const bytes = [];
  const memory = [];
  for (const size of [2, 6, 12, 24]) {
    const idle = await measureIdle(
      createControlPlan(1, size),
      fleet => fleet.gateway('gateway-1').process.pid,
    );
    cpu.push({size, cost: idle.cpuPercent});
    bytes.push({size, cost: idle.bytesPerSecond});
    memory.push({size, cost: idle.residentBytes});
  }
  const sidecarCpu = [];
  const sidecarBytes = [];
  for (const size of [1, 4, 8, 16]) {
    const idle = await measureIdle(
      createControlPlan(size, 1),
      fleet => fleet.sidecar('modelo-1').pid,
    );
    sidecarCpu.push({size, cost: idle.cpuPercent});
    sidecarBytes.push({size, cost: idle.bytesPerSecond});
  }
  const sidecars = 'sidecar in the subset';
  const gateways = 'gateway connected';
  return [
    fitSlope('gateway control', {per: sidecars, unit: CPU_UNIT}, cpu),
    fitSlope('gateway control', {per: sidecars, unit: BYTES_UNIT}, bytes),
    fitSlope('gateway memory', {per: sidecars, unit: 'bytes'}, memory),
    fitSlope('sidecar control', {per: gateways, unit: CPU_UNIT}, sidecarCpu),
    fitSlope(
      'sidecar control',
      {per: gateways, unit: BYTES_UNIT},
      sidecarBytes,
    ),
  ];
}

interface IdleUsage {
  readonly cpuPercent: number;
  readonly bytesPerSecond: number;
  readonly residentBytes: number;
}

/** Measures the resource use of a process without requests. */
async function measureIdle(
  plan: FleetPlan,
  findPid: (fleet: Fleet) => number,
): Promise<IdleUsage> {
  const fleet = await Fleet.start(plan);
  const pid = findPid(fleet);
  await sleep(WARM_UP_MILLISECONDS);
  const before = readUsage(pid);
  const bytesBefore = readIoBytes(pid);
  await sleep(IDLE_MEASUREMENT_SECONDS * 1_000);
  const after = readUsage(pid);
  const bytes = readIoBytes(pid) - bytesBefore;
  await fleet.stop();
  return {
    cpuPercent: computeCpuPercent(before, after),
    bytesPerSecond: bytes / IDLE_MEASUREMENT_SECONDS,
    residentBytes: after.residentBytes,
  };
}

function createControlPlan(gateways: number, sidecars: number): FleetPlan {
  return createTestPlan({
    gateways,
    engines: sidecars,
    engineOptions: {stepMilliseconds: 100},
    gatewaySettings: {
      endpointsPerService: sidecars,
      membershipPollMilliseconds: 1_000,
      logLongPollMilliseconds: 1_000,
    },
    sidecarSettings: {
      loadReportMilliseconds: 1_000,
      membershipPollMilliseconds: 1_000,
      logLongPollMilliseconds: 1_000,
    },
  });
}

/** Measures streams through one gateway and three sidecars. */
async function measureStreams(): Promise<readonly Slope[]> {
  const fleet = await Fleet.start(
    createTestPlan({
      gateways: 1,
      engines: 3,
      engineOptions: {stepMilliseconds: 10, memoryCapacityTokens: 1_000_000},
    }),
  );
  const gateway = fleet.gateway('gateway-1');
  const pids = [gateway.process, ...fleet.sidecars.values()].map(
    ({pid}) => pid,
  );
  await runStreams(gateway.url, 50);
  const gatewayCpu = [];
  const sidecarCpu = [];
  const memory = [];
  for (const size of [25, 50, 100, 200]) {
    const before = pids.map(readUsage);
    await runStreams(gateway.url, size);
    const after = pids.map(readUsage);
    const spent = after.map(
      ({cpuMilliseconds}, index) =>
        cpuMilliseconds - (before[index]?.cpuMilliseconds ?? 0),
    );
    const [gatewayMilliseconds = 0, ...sidecarMilliseconds] = spent;
    const thousandTokens = (size * TOKENS_PER_STREAM) / 1_000;
    gatewayCpu.push({size: thousandTokens, cost: gatewayMilliseconds});
    sidecarCpu.push({
      size: thousandTokens,
      cost: sidecarMilliseconds.reduce((sum, part) => sum + part, 0),
    });
    memory.push({size, cost: after[0]?.residentBytes ?? 0});
  }
  await fleet.stop();
  const units = {per: '1,000 tokens', unit: 'milliseconds of processor time'};
  return [
    fitSlope('gateway, streamed tokens', units, gatewayCpu),
    fitSlope('sidecar, streamed tokens', units, sidecarCpu),
    fitSlope('gateway memory', {per: 'stream open', unit: 'bytes'}, memory),
  ];
}

async function runStreams(gateway: string, count: number): Promise<void> {
  await Promise.all(
    Array.from({length: count}, (_, index) =>
      requestCompletion({
        gateway,
        key: KEY,
        model: MODEL,
        prompt: `len=${TOKENS_PER_STREAM} seed=${index}`,
        stream: true,
      }),
    ),
  );
}

/** Measures log appends and processor time of non-idempotent calls. */
async function measureClaims(): Promise<readonly Slope[]> {
  const fleet = await Fleet.start(
    createTestPlan({engines: 0, gateways: 1, serviceSidecars: 1}),
  );
  const gateway = fleet.gatewayUrls[0] ?? '';
  const pid = fleet.sidecar('plataforma-1').pid;
  const appends = [];
  const cpu = [];
  for (const size of [50, 100, 200, 400]) {
    const before = fleet.platform.counts.append;
    const cpuBefore = readUsage(pid).cpuMilliseconds;
    const start = Date.now();
    const pending = [];
    for (let index = 0; index < size; index += 1) {
      pending.push(
        callService({
          gateway,
          key: KEY,
          method: 'POST',
          path: '/services/plataforma/reservations',
          body: {lot: index},
          idempotencyKey: `${size}-${index}`,
        }),
      );
      const due = start + ((index + 1) * 1_000) / size;
      await sleep(due - Date.now());
    }
    await Promise.all(pending);
    const seconds = (Date.now() - start) / 1_000;
    const perSecond = size / seconds;
    const appendCount = fleet.platform.counts.append - before;
    appends.push({size: perSecond, cost: appendCount / seconds});
    const spent = readUsage(pid).cpuMilliseconds - cpuBefore;
    cpu.push({size: perSecond, cost: spent / seconds / 10});
  }
  await fleet.stop();
  const per = 'non-idempotent call a second';
  return [
    fitSlope(
      'log appends of one sidecar',
      {per, unit: 'appends a second'},
      appends,
    ),
    fitSlope(
      'sidecar, claims and calls',
      {per, unit: 'percent of a core'},
      cpu,
    ),
  ];
}

/** Measures the time until all processes have applied a change. */
async function measureConfigurationPropagation(): Promise<Slope> {
  const points = [];
  for (const size of [2, 8, 16, 32]) {
    const fleet = await Fleet.start(
      createTestPlan({
        gateways: Math.max(1, size / 4),
        engines: size - Math.max(1, size / 4),
        engineOptions: {stepMilliseconds: 100},
        gatewaySettings: {endpointsPerService: size},
      }),
    );
    const daemons = [
      ...[...fleet.gateways.values()].map(gateway => gateway.process),
      ...fleet.sidecars.values(),
    ];
    const times = [];
    for (const value of [2, 3, 4]) {
      const offset = fleet.configure('defaults.weight', value);
      const start = Date.now();
      await Promise.all(
        daemons.map(daemon =>
          daemon.waitFor(
            'configuration',
            fields => Number(fields['version']) >= offset,
          ),
        ),
      );
      times.push(Date.now() - start);
    }
    points.push({size, cost: Math.max(...times)});
    await fleet.stop();
  }
  const units = {per: 'process', unit: 'milliseconds'};
  return fitSlope('configuration in force everywhere', units, points);
}

function computeCpuPercent(before: Usage, after: Usage): number {
  const spent = after.cpuMilliseconds - before.cpuMilliseconds;
  return spent / IDLE_MEASUREMENT_SECONDS / 10;
}

function readUsage(pid: number): Usage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const pages = Number(fields[21]);
  return {
    cpuMilliseconds: (ticks * 1_000) / CLOCK_TICKS_PER_SECOND,
    residentBytes: pages * PAGE_BYTES,
  };
}

/** Returns the bytes read and written by a process, including sockets. */
function readIoBytes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/io`, 'utf8');
  const read = (name: string) =>
    Number(new RegExp(`${name}: (\\d+)`).exec(text)?.[1] ?? 0);
  return read('rchar') + read('wchar');
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, Math.max(0, milliseconds)));
}
