/**
 * Starts, kills and restarts a server process, and writes its entry to the store.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import readline from 'node:readline';
import {URL, fileURLToPath} from 'node:url';

const SCRIPT = fileURLToPath(
  new URL('plain_server_process.mjs', import.meta.url),
);

/** A server that keeps its identifier and address over restarts. */
export class PlainServer {
  /** True while the server does not reach the store. */
  isCutFromStore = false;
  #port = 0;

  /** `options`: id, service, events, eventMs, store, proxy, log. */
  constructor(options) {
    Object.assign(this, options);
  }

  /** Starts a process; resolves when it listens. */
  async start() {
    const {id, events, eventMs} = this;
    const child = spawn(
      process.execPath,
      [SCRIPT, id, String(this.#port), String(events), String(eventMs)],
      {stdio: ['ignore', 'pipe', 'inherit']},
    );
    this.child = child;
    const lines = readline.createInterface({input: child.stdout});
    const [first] = await once(lines, 'line');
    const {port, born} = JSON.parse(first);
    this.#port = port;
    this.proxy.targetPort = port;
    this.born = born;
    this.log(`server ${id} listens, born ${born}`);
    lines.on('line', line => this.#handle(JSON.parse(line)));
  }

  /** Kills the process; the system closes its connections. */
  async kill() {
    const exited = once(this.child, 'exit');
    this.child.kill('SIGKILL');
    await exited;
    this.log(`server ${this.id} was killed`);
  }

  /** Ends the process at the end of the case. */
  stop() {
    this.child?.kill('SIGKILL');
  }

  #handle({event, sequence, id}) {
    if (event === 'run') {
      this.log(`server ${this.id} runs ${id}`);
      return;
    }
    if (!this.isCutFromStore) {
      this.store.put('keyed.servers', this.id, {
        Service: this.service,
        Address: `127.0.0.1:${this.proxy.port}`,
        Zone: 'east-1',
        Version: 'v1',
        Slots: 24,
        State: 'ready',
        ColdRemainingMs: 0,
        Seq: sequence,
        born: this.born,
      });
    }
  }
}
