/**
 * Starts gateways as separate processes, with the command of the deploy file
 * and settings like those of the small deployment `hqrta-briarpin`.
 */
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {fileURLToPath, URL} from 'node:url';

import {sleep} from './store.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

const ZONES = {
  'ishikari-1': 'ishikari',
  'kamikawa-1': 'kamikawa',
  'oshima-1': 'oshima',
};

/** Ports of one gateway: callers, readiness, control and the internal ones. */
const PORTS_OF_GATEWAY = 24;

/** The command of the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, command] = /^run = "(.*)"$/m.exec(text);
  return command.split(' ');
}

/** The gateways of one run, with a temporary folder for their settings. */
export class Gateways {
  all = [];

  /**
   * @param storePort - Port of the store
   * @param log - Receives the lines that gateways write
   */
  constructor(storePort, log = () => undefined) {
    this.storePort = storePort;
    this.log = log;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
  }

  /** Starts a gateway and waits until it says that it is ready. */
  async start(name, zone = 'ishikari-1') {
    const first = await findPorts(PORTS_OF_GATEWAY);
    const gateway = {
      name,
      callers: first,
      readiness: first + 1,
      settingsFile: join(this.folder, `${name}.conf`),
      exits: [],
      isStopped: false,
    };
    writeFileSync(
      gateway.settingsFile,
      this.createSettings(name, zone, first).join('\n'),
    );
    this.all.push(gateway);
    this.spawn(gateway);
    await this.waitUntilReady(gateway);
    return gateway;
  }

  /** Starts the process of a gateway, also again after it was killed. */
  spawn(gateway) {
    const [program, ...words] = readCommand();
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, BRIARPIN_NODE_FILE: gateway.settingsFile},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    gateway.child = child;
    for (const stream of [child.stdout, child.stderr]) {
      stream.setEncoding('utf8');
      stream.on('data', text => this.log(gateway.name, text));
    }
    gateway.ended = new Promise(resolve =>
      child.once('exit', (code, signal) => {
        gateway.exits.push({code, signal});
        resolve();
      }),
    );
  }

  async waitUntilReady(gateway, milliseconds = 10_000) {
    const until = performance.now() + milliseconds;
    while ((await askReady(gateway.readiness, 1_000)) !== 200) {
      if (performance.now() > until) {
        throw new Error(`${gateway.name} is not ready`);
      }
      await sleep(50);
    }
  }

  /** Ends all processes and removes the folder. */
  async stop() {
    for (const gateway of this.all) {
      gateway.isStopped = true;
      gateway.child.kill('SIGCONT');
      gateway.child.kill('SIGKILL');
      await gateway.ended;
    }
    rmSync(this.folder, {recursive: true, force: true});
  }

  createSettings(name, zone, first) {
    return [
      `Node=${name}`,
      'Role=gateway',
      'MachineClass=front',
      'Serves=front',
      'Ip=127.0.0.1',
      `Zone=${zone}`,
      `Region=${ZONES[zone]}`,
      ...Object.entries(ZONES).map(([key, region]) => `Zones.${key}=${region}`),
      `Listen.Front=127.0.0.1:${first}`,
      `Listen.Ready=127.0.0.1:${first + 1}`,
      `Listen.Control=127.0.0.1:${first + 2}`,
      `InternalPorts=${first + 4},${first + 19}`,
      'Bootstrap=true',
      'InTolerance=false',
      'Limits.CpuShare=0.513',
      'Limits.Cores=1',
      'Limits.MemoryMb=200',
      'Limits.MaxFds=4100',
      'Limits.LinkMbps=1000.0',
      'Limits.DiskMb=0',
      'Discovery=platform',
      'Entry=virtual_ip',
      'HeartbeatMs=1200',
      'Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform',
      'FaultTolerance.Machines=1',
      'FaultTolerance.Zones=0',
      'FaultTolerance.Regions=0',
      'Bounds.SeedLagS=3',
      'Bounds.ReuseAfterS=2',
      'Bounds.StableMs=4000',
      'Bounds.AckMs=5000',
      'Bounds.CatchUpS=4',
      'Bounds.DrainMs=2500',
      'Bounds.GraceS=8',
      'Bounds.LossSlackMs=200',
      'Bounds.ConfigApplyMs=2500',
      'Bounds.RollbackSlackMs=250',
      'Bounds.OuterMs=6000',
      'Bounds.FailClosed=true',
      'Bounds.RevokeMs=5000',
      'Bounds.RetryBudgetRatio=0.2',
      'Bounds.BudgetWindowS=10',
      'Bounds.RetryBudgetSlack=54',
      'Bounds.RecoveryS=12',
      'Bounds.PassMs=250',
      'Bounds.RetryAfterS=4.7',
      `Platform.Address=127.0.0.1:${this.storePort}`,
      'Platform.form=log',
      'Platform.WritesPerS=400',
      'Platform.ReadsPerS=2000',
      'Platform.parts=12',
      'Platform.keep_s=300',
      'Platform.TtlMinMs=1000',
      '',
    ];
  }
}

/** Asks as the platform does; returns the status, or 0 without an answer. */
export function askReady(port, timeoutMilliseconds) {
  return new Promise(resolve => {
    const request = http.get(
      {host: '127.0.0.1', port, path: '/briarpin/ready', agent: false},
      response => {
        response.resume();
        response.on('error', () => undefined);
        resolve(response.statusCode);
      },
    );
    request.setTimeout(timeoutMilliseconds, () => request.destroy());
    request.on('error', () => resolve(0));
    request.on('close', () => resolve(0));
  });
}

/** Finds ports in a row that are free now. */
export async function findPorts(count) {
  for (;;) {
    const first = 12_000 + Math.floor(Math.random() * 18_000);
    const ports = Array.from({length: count}, (_, index) => first + index);
    const free = await Promise.all(ports.map(isFree));
    if (free.every(Boolean)) {
      return first;
    }
  }
}

function isFree(port) {
  const server = net.createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
