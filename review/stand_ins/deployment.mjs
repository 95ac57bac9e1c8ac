/**
 * A small deployment on loopback: the store, servers and gateways of the project
 * as separate processes, and clients.
 */
import {fork, spawn} from 'node:child_process';
import dgram from 'node:dgram';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';

import {Store} from './store.mjs';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const SERVER_SCRIPT = fileURLToPath(new URL('server.mjs', import.meta.url));
const START_TIMEOUT_MILLISECONDS = 20_000;

/** Bounds of the small deployments of SYSTEM.md. */
export const BOUNDS = {
  heartbeatMilliseconds: 1_200,
  drainMilliseconds: 2_500,
  stableMilliseconds: 4_000,
};

/** Resolves after a time. */
export function sleep(milliseconds) {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Runs a store, servers, gateways and clients, and records what they do. */
export class Deployment {
  /** @param {object} configuration - First version of the configuration */
  constructor(configuration) {
    this.startedAt = performance.now();
    this.lines = [];
    this.folder = mkdtempSync(path.join(tmpdir(), 'briarpin-review-'));
    this.children = new Set();
    this.gateways = [];
    this.servers = new Map();
    this.requestCount = 0;
    this.store = new Store({
      heartbeatMilliseconds: BOUNDS.heartbeatMilliseconds,
      onRecord: (topic, key, value) => this.recordStoreWrite(topic, key, value),
    });
    this.store.put('keyed.op', 'config', configuration);
    this.entryStates = new Map();
  }

  /** Milliseconds since the start. */
  now() {
    return performance.now() - this.startedAt;
  }

  /** Adds a line to the record. */
  record(text) {
    this.lines.push(`${(this.now() / 1_000).toFixed(3)} ${text}`);
  }

  /** Starts the store. */
  async startStore() {
    this.storePort = await this.store.listen();
  }

  /** Records entries of servers that appear, change their state or go. */
  recordStoreWrite(topic, key, value) {
    if (topic !== 'keyed.servers') {
      return;
    }
    const state = value.length === 0 ? 'none' : JSON.parse(value).State;
    if (this.entryStates.get(key) !== state) {
      this.entryStates.set(key, state);
      this.record(`store: the entry of ${key} is now ${state}`);
    }
  }

  /**
   * Starts a server as a process.
   *
   * @param {object} options - Options of the stand-in
   * @param {Function} onMessage - Called for what the server tells
   */
  async startServer(options, onMessage = () => undefined) {
    const child = fork(
      SERVER_SCRIPT,
      [JSON.stringify({storePort: this.storePort, ...options})],
      {stdio: ['ignore', 'inherit', 'inherit', 'ipc']},
    );
    this.track(child);
    const server = {
      id: options.id,
      child,
      runs: [],
      order: kind => child.send({kind}),
    };
    this.servers.set(options.id, server);
    await new Promise((resolve, reject) => {
      child.once('exit', () => reject(new Error(`${options.id} ended`)));
      child.on('message', message => {
        if (message.kind === 'listening') {
          server.port = message.port;
          resolve();
        }
        if (message.kind === 'runs') {
          server.runs.push({...message, at: this.now()});
        }
        if (message.kind !== 'listening') {
          const {kind, ...fields} = message;
          this.record(`server: ${kind} ${JSON.stringify(fields)}`);
        }
        onMessage(message);
      });
    });
    return server;
  }

  /**
   * Starts a gateway with the command of the deploy file.
   *
   * @param {string} name - Name of its machine
   * @param {number} storePort - Port at which it reaches the store
   */
  async startGateway(name, storePort = this.storePort) {
    const ports = {
      front: await findTcpPort(),
      ready: await findTcpPort(),
      internal: await findInternalPort(),
    };
    const file = path.join(this.folder, `${name}.conf`);
    writeFileSync(file, this.createSettings(name, ports, storePort));
    const [program, ...words] = readRunCommand();
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        BRIARPIN_NODE_FILE: file,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.track(child);
    const gateway = {name, child, ports, log: []};
    for (const stream of [child.stdout, child.stderr]) {
      stream.setEncoding('utf8');
      stream.on('data', text => gateway.log.push(text));
    }
    this.gateways.push(gateway);
    await this.waitFor(`readiness of ${name}`, async () => {
      const {status} = await this.get(ports.ready, '/briarpin/ready');
      return status === 200;
    });
    return gateway;
  }

  createSettings(name, {front, ready, internal}, storePort) {
    return [
      `Node=${name}`,
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
      'Limits.MemoryMb=200',
      'Discovery=platform',
      `HeartbeatMs=${BOUNDS.heartbeatMilliseconds}`,
      'Bounds.StableMs=4000',
      'Bounds.DrainMs=2500',
      'Bounds.GraceS=8',
      'Bounds.ConfigApplyMs=2500',
      'Bounds.FailClosed=true',
      'Bounds.RevokeMs=5000',
      'Bounds.RetryBudgetRatio=0.2',
      'Bounds.BudgetWindowS=10',
      'Bounds.RetryBudgetSlack=54',
      `Platform.Address=127.0.0.1:${storePort}`,
      'Platform.form=log',
      '',
    ].join('\n');
  }

  /** Waits until a condition holds. */
  async waitFor(description, condition) {
    const deadline = performance.now() + START_TIMEOUT_MILLISECONDS;
    while (!(await condition())) {
      if (performance.now() > deadline) {
        throw new Error(`${description} did not come in time`);
      }
      await sleep(50);
    }
  }

  get(port, requestPath) {
    return new Promise(resolve => {
      const request = http.get({
        host: '127.0.0.1',
        port,
        path: requestPath,
        agent: false,
        timeout: 1_000,
      });
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve({status: 0}));
      request.on('response', response => {
        response.resume();
        response.on('end', () => resolve({status: response.statusCode}));
        response.on('error', () => resolve({status: 0}));
      });
    });
  }

  /**
   * Sends a request to a gateway on a new connection, as a client does.
   *
   * @param {object} gateway - The gateway
   * @param {object} options - Method, path, deadline and further headers
   * @returns Status, body, whether the answer is complete, and its end
   */
  send(gateway, {method = 'GET', requestPath, deadline = 2_000, headers = {}}) {
    this.requestCount += 1;
    const id = `r${String(this.requestCount).padStart(5, '0')}`;
    const sentAt = this.now();
    this.record(
      `client: sends ${id} ${method} ${requestPath} to ${gateway.name}`,
    );
    return new Promise(resolve => {
      const settle = result => {
        const endedAt = this.now();
        const {status, isComplete, error} = result;
        const how = isComplete ? 'whole' : `broken (${error})`;
        this.record(`client: ${id} ended with ${status}, ${how}`);
        resolve({id, sentAt, endedAt, ...result});
      };
      const request = http.request({
        host: '127.0.0.1',
        port: gateway.ports.front,
        method,
        path: requestPath,
        agent: false,
        headers: {
          Host: 'shop.example',
          'X-Briarpin-Request-Id': id,
          'X-Briarpin-Deadline-Ms': String(deadline),
          Authorization: 'Token key-1',
          ...(method === 'GET' ? {} : {'Content-Length': '0'}),
          ...headers,
        },
      });
      const timer = setTimeout(
        () => request.destroy(new Error('the deadline passed')),
        deadline,
      );
      request.on('error', error => {
        clearTimeout(timer);
        settle({status: 0, body: '', isComplete: false, error: error.message});
      });
      request.on('response', response => {
        let body = '';
        response.setEncoding('utf8');
        response.on('data', text => (body += text));
        const end = error => {
          clearTimeout(timer);
          settle({
            status: response.statusCode,
            headers: response.headers,
            body,
            isComplete: response.complete && error === undefined,
            error: error?.message,
          });
        };
        response.on('end', () => end());
        response.on('error', error => end(error));
      });
      request.end();
    });
  }

  track(child) {
    this.children.add(child);
    child.once('exit', () => this.children.delete(child));
  }

  /** Ends all processes, and writes the record into a folder. */
  async finish(folder) {
    this.children.forEach(child => {
      child.removeAllListeners('message');
      child.kill('SIGKILL');
    });
    await sleep(200);
    writeFileSync(
      path.join(folder, 'record.txt'),
      this.lines.join('\n') + '\n',
    );
    rmSync(this.folder, {recursive: true, force: true});
  }
}

/**
 * Runs a scenario and ends the process with the status of a case: 0 if the rule
 * held, 1 if it was broken, 2 if the case could not run.
 *
 * @param {string} scriptUrl - Address of the module of the case
 * @param {object} configuration - First version of the configuration
 * @param {Function} scenario - Gets the deployment and whether there is trouble;
 *   returns whether the rule held
 */
export async function runCase(scriptUrl, configuration, scenario) {
  const folder = path.dirname(fileURLToPath(scriptUrl));
  const deployment = new Deployment(configuration);
  const watchdog = setTimeout(() => {
    deployment.record('the case took too long');
    deployment.finish(folder).then(() => process.exit(2));
  }, 115_000);
  let status = 2;
  try {
    await deployment.startStore();
    const holds = await scenario(deployment, process.env.TROUBLE !== '0');
    status = holds ? 0 : 1;
    deployment.record(holds ? 'the rule held' : 'the rule was broken');
  } catch (error) {
    deployment.record(`the case could not run: ${error.stack}`);
  }
  clearTimeout(watchdog);
  await deployment.finish(folder);
  process.stdout.write(`${deployment.lines.at(-1)}\n`);
  process.exit(status);
}

/** Returns the command with which the deploy file starts a gateway. */
function readRunCommand() {
  const text = readFileSync(path.join(ROOT, 'deploy', 'system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

function findTcpPort() {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Finds a free UDP port whose next TCP port is free too. */
async function findInternalPort() {
  for (;;) {
    const port = await new Promise((resolve, reject) => {
      const socket = dgram.createSocket('udp4');
      socket.once('error', reject);
      socket.bind(0, '127.0.0.1', () => {
        const {port: bound} = socket.address();
        socket.close(() => resolve(bound));
      });
    });
    const isNextFree = await new Promise(resolve => {
      const server = net.createServer();
      server.once('error', () => resolve(false));
      server.listen(port + 1, '127.0.0.1', () =>
        server.close(() => resolve(true)),
      );
    });
    if (isNextFree && port < 65_000) {
      return port;
    }
  }
}

/** Creates a route of the configuration. */
export function createRoute(name, overrides) {
  return {
    Name: name,
    Hostname: 'shop.example',
    PathPrefix: `/${name}/`,
    TimeoutMs: 1_000,
    TargetLatencyMs: 200,
    Priority: 0,
    Public: false,
    ...overrides,
  };
}

/** Creates a configuration with routes to a plain and an engine service. */
export function createConfiguration(overrides = {}) {
  return {
    Version: 7,
    Routes: [
      createRoute('stock', {
        Type: 'idempotent',
        Service: 'desk',
        MaxAttempts: 2,
      }),
      createRoute('hold', {
        Type: 'non_idempotent',
        Service: 'desk',
        MaxAttempts: 1,
      }),
      createRoute('text', {
        Type: 'stream',
        Service: 'pen',
        MaxAttempts: 1,
        TimeoutMs: 39_000,
        TargetLatencyMs: 1_800,
        GapAimMs: 180,
        Resumable: false,
        Sticky: true,
      }),
    ],
    Services: [
      {Name: 'desk', HealthPath: '/health', MaxConns: 100},
      {
        Name: 'pen',
        HealthPath: '/health',
        MaxConns: 242,
        Engine: {
          Slots: 24,
          KvTokens: 34_319,
          KvTokenBytes: 163_840,
          LinkMbps: 24_000,
          Moves: true,
          Backups: true,
          Stride: 4,
          HandleS: 5,
        },
      },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{Name: 'quilters', ApiKeys: ['key-1'], Priority: 1}],
    ...overrides,
  };
}
