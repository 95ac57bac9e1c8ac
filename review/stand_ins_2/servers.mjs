/**
 * Starts servers as processes, and writes their entries to the store as long as
 * they run and reach it.
 */
import {fork} from 'node:child_process';
import {performance} from 'node:perf_hooks';
import {clearInterval, setInterval} from 'node:timers';
import {fileURLToPath, URL} from 'node:url';

const PROGRAM = fileURLToPath(new URL('server.mjs', import.meta.url));

const HEARTBEAT_MILLISECONDS = 1_200;

/** Silence after which the store removes an entry. */
const LAPSE_MILLISECONDS = 3 * HEARTBEAT_MILLISECONDS;

/** The servers of one run. */
export class Servers {
  all = new Set();
  entries = new Map();

  /**
   * @param store - Receives the entries
   * @param onEvent - Receives what servers tell
   */
  constructor(store, onEvent) {
    this.store = store;
    this.onEvent = onEvent;
    this.timer = setInterval(() => this.beat(), 50);
  }

  /** Starts a server; resolves once it listens and has written its entry. */
  async start(options) {
    const settings = {
      service: 'fabricpen',
      software: 'v1',
      zone: 'ishikari-1',
      slots: 24,
      port: 0,
      ...options,
    };
    const child = fork(PROGRAM, [JSON.stringify(settings)]);
    const server = {...settings, child, born: Date.now(), isUp: true, seq: 0};
    server.ended = new Promise(resolve => child.once('exit', resolve));
    this.all.add(server);
    await new Promise(resolve => {
      child.on('message', event => {
        if (event.kind === 'listening') {
          server.port = event.port;
          resolve();
        }
        this.onEvent(event);
      });
    });
    this.write(server);
    return server;
  }

  /** Kills a server without a notice. Its entry lapses. */
  async kill(server) {
    server.isUp = false;
    server.child.kill('SIGKILL');
    await server.ended;
    this.onEvent({server: server.id, kind: 'killed'});
  }

  /** Lets a server leave without a notice: its entry goes, and it serves on. */
  leaveSilently(server) {
    server.isUp = false;
    this.entries.delete(server.id);
    this.store.put('keyed.servers', server.id);
    this.onEvent({server: server.id, kind: 'entry removed'});
  }

  async stop() {
    clearInterval(this.timer);
    for (const server of this.all) {
      server.child.kill('SIGKILL');
      await server.ended;
    }
  }

  beat() {
    if (this.store.behaviour !== 'serves') {
      return;
    }
    const now = performance.now();
    for (const server of this.all) {
      const age = now - (this.entries.get(server.id)?.at ?? -Infinity);
      if (server.isUp && age >= HEARTBEAT_MILLISECONDS) {
        this.write(server);
      }
    }
    for (const [id, {at}] of this.entries) {
      if (now - at >= LAPSE_MILLISECONDS) {
        this.entries.delete(id);
        this.store.put('keyed.servers', id);
        this.onEvent({server: id, kind: 'entry lapsed'});
      }
    }
  }

  write(server) {
    if (this.store.behaviour !== 'serves') {
      return;
    }
    server.seq += 1;
    this.entries.set(server.id, {at: performance.now()});
    this.store.put('keyed.servers', server.id, {
      Service: server.service,
      Address: `127.0.0.1:${server.port}`,
      Zone: server.zone,
      Version: server.software,
      Slots: server.slots,
      State: 'ready',
      ColdRemainingMs: 0,
      Stage: 'colocated',
      Seq: server.seq,
      born: server.born,
    });
  }
}
