/**
 * Runs the project's gateway as the deploy file says, and stops and restarts it.
 */
import {setTimeout} from 'node:timers';
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {URL, fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));

/** A gateway process with settings like those of a small deployment. */
export class Gateway {
  /** `options`: name, store, folder, log, and optionally `bounds`. */
  constructor(options) {
    Object.assign(this, options);
  }

  /** Chooses free ports and starts the process. */
  async start() {
    this.ports ??= await findPorts();
    const {front, ready, internal} = this.ports;
    this.settings = path.join(this.folder, `${this.name}.conf`);
    fs.writeFileSync(
      this.settings,
      [
        `Node=${this.name}`,
        'Role=gateway',
        'MachineClass=front',
        'Serves=front',
        'Ip=127.0.0.1',
        'Zone=east-1',
        'Region=east',
        'Zones.east-1=east',
        `Listen.Front=127.0.0.1:${front}`,
        `Listen.Ready=127.0.0.1:${ready}`,
        `InternalPorts=${internal},${internal + 1}`,
        'Bootstrap=false',
        'Limits.MemoryMb=200',
        'Limits.MaxFds=4100',
        'HeartbeatMs=1200',
        'Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform',
        'Bounds.StableMs=4000',
        'Bounds.DrainMs=2500',
        'Bounds.GraceS=8',
        'Bounds.LossSlackMs=200',
        'Bounds.ConfigApplyMs=2500',
        'Bounds.FailClosed=true',
        'Bounds.RevokeMs=5000',
        'Bounds.RetryBudgetRatio=0.2',
        'Bounds.BudgetWindowS=10',
        'Bounds.RetryBudgetSlack=54',
        `Platform.Address=127.0.0.1:${this.store.port}`,
        'Platform.form=log',
        'Platform.WritesPerS=400',
        'Platform.ReadsPerS=2000',
        '',
      ].join('\n'),
    );
    this.launch();
    await this.waitUntilReady();
  }

  /** Starts the process again, as the platform does after an end. */
  launch() {
    this.log(`gateway ${this.name} starts`);
    this.child = spawn(
      process.execPath,
      [
        '--max-old-space-size=96',
        'target/briarpind.js',
        'gateway',
        '--on-machine',
      ],
      {
        cwd: ROOT,
        env: {PATH: process.env.PATH, BRIARPIN_NODE_FILE: this.settings},
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    const output = fs.createWriteStream(
      path.join(this.folder, `${this.name}.log`),
      {flags: 'a'},
    );
    this.child.stdout.pipe(output, {end: false});
    this.child.stderr.pipe(output, {end: false});
    this.startedAt = Date.now();
  }

  /** Sends a signal to the process. */
  signal(name) {
    this.log(`gateway ${this.name} gets ${name}`);
    this.child?.kill(name);
  }

  /** Returns whether the process answers that it is ready. */
  isReady() {
    return new Promise(resolve => {
      const request = http.get(
        {
          host: '127.0.0.1',
          port: this.ports.ready,
          path: '/briarpin/ready',
          agent: false,
        },
        response => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.setTimeout(500, () => request.destroy());
      request.on('error', () => resolve(false));
    });
  }

  /** Waits until the process is ready; throws if it is not in 10 s. */
  async waitUntilReady() {
    const limit = Date.now() + 10_000;
    while (!(await this.isReady())) {
      if (Date.now() > limit) {
        throw new Error(`gateway ${this.name} is not ready`);
      }
      await sleep(50);
    }
    this.log(`gateway ${this.name} is ready`);
  }

  /** Kills the process. */
  stop() {
    this.child?.kill('SIGKILL');
  }
}

/** Waits. */
export function sleep(milliseconds) {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

async function findPorts() {
  const internal = await findPort();
  return {front: await findPort(), ready: await findPort(), internal};
}

/** Finds a port that is free, and so is the next one. */
async function findPort() {
  for (;;) {
    const port = 20_000 + Math.floor(Math.random() * 12_000);
    if ((await isFree(port)) && (await isFree(port + 1))) {
      return port;
    }
  }
}

function isFree(port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
