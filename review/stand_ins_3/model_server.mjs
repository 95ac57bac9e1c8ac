/**
 * Stand-in for a model server: registers in the store, streams events and takes
 * a stream up after `Last-Event-Id`.
 */
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import http from 'node:http';

const HEARTBEAT_MILLISECONDS = 1_200;

/** Events of a stream whose path ends with `/short`. */
const SHORT_EVENTS = 3;

/** A model server that keeps its identifier and address over restarts. */
export class ModelServer {
  /** All requests that any incarnation began to run. */
  runs = [];
  state = 'ready';
  #sockets = new Set();
  #port = 0;

  /** `options`: id, service, version, events, eventMs, firstMs, store, log. */
  constructor(options) {
    Object.assign(this, options);
  }

  /** Starts an incarnation; `version` is that of its software. */
  async start(version = this.version) {
    this.version = version;
    this.born = Date.now();
    this.sequence = 0;
    this.http = http.createServer((request, response) =>
      this.handle(request, response),
    );
    this.http.keepAliveTimeout = 30_000;
    this.http.on('connection', socket => {
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    await new Promise(resolve =>
      this.http.listen(this.#port, '127.0.0.1', resolve),
    );
    this.#port = this.http.address().port;
    this.log(`server ${this.id} starts with software ${version}`);
    this.register();
    this.heartbeat = setInterval(() => this.register(), HEARTBEAT_MILLISECONDS);
  }

  /** True while an incarnation listens. */
  get isListening() {
    return this.http?.listening === true;
  }

  /** Address at which all incarnations listen. */
  get address() {
    return `127.0.0.1:${this.#port}`;
  }

  /** Writes the entry, unless the store is away. */
  register() {
    if (this.store.mode !== 'serves') {
      return;
    }
    this.store.put('keyed.servers', this.id, this.createEntry());
  }

  /** Creates the next entry of this incarnation. */
  createEntry() {
    this.sequence += 1;
    return {
      Service: this.service,
      Address: this.address,
      Zone: 'east-1',
      Version: this.version,
      Slots: 24,
      State: this.state,
      ColdRemainingMs: 0,
      Stage: 'colocated',
      Models: [{Name: 'm', Version: 1, Adapters: []}],
      Seq: this.sequence,
      born: this.born,
    };
  }

  /** Says that the server leaves. */
  drain() {
    this.log(`server ${this.id} drains`);
    this.state = 'draining';
    this.register();
  }

  /** Ends the incarnation as a crash does: without a word, all connections reset. */
  crash() {
    this.log(`server ${this.id} crashes (software ${this.version})`);
    this.stop();
  }

  /** Ends the incarnation. */
  stop() {
    clearInterval(this.heartbeat);
    this.http?.close();
    this.#sockets.forEach(socket => socket.resetAndDestroy());
  }

  /** Handles a request as the pages say. */
  handle(request, response) {
    const path = request.url.split('?')[0];
    if (path === '/briarpin/report') {
      this.sendReport(response);
      return;
    }
    if (path === '/health') {
      response.writeHead(200, {'X-Briarpin-Instance-Id': this.id});
      response.end();
      return;
    }
    const expected = request.headers['x-briarpin-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {'X-Briarpin-Instance-Id': this.id});
      response.end();
      return;
    }
    request.resume();
    request.once('end', () => this.run(request, response));
  }

  /** Sends the state of the server. */
  sendReport(response) {
    const body = {
      Stage: 'colocated',
      Models: [{Name: 'm', Version: 1, Adapters: []}],
      Busy: false,
      Seq: 0,
      Queued: 0,
      Running: this.runs.filter(run => run.isRunning).length,
      KvUsed: 1_000,
      KvTotal: 34_319,
      Handles: 0,
      State: this.state,
      born: this.born,
    };
    response.writeHead(200, {'Content-Type': 'application/json'});
    response.end(JSON.stringify(body));
  }

  /** Runs a stream: its events from the one after `Last-Event-Id`. */
  run({headers, url: path}, response) {
    const id = headers['x-briarpin-request-id'];
    const run = {
      id,
      server: this.id,
      software: this.version,
      after: Number(headers['last-event-id'] ?? 0),
      at: Date.now(),
      isRunning: true,
    };
    this.runs.push(run);
    this.log(
      `server ${this.id} (${this.version}) runs ${id} after event ${run.after}`,
    );
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'X-Briarpin-Request-Id': id,
      'X-Briarpin-Server-Stamp': `${this.id}.${this.born}.${this.runs.length}`,
      'X-Briarpin-Weight-Versions': '1',
      'X-Briarpin-Server-Load': '1,0,24',
    });
    let event = run.after;
    const {version} = this;
    const lastEvent = path.endsWith('/short') ? SHORT_EVENTS : this.events;
    const send = () => {
      if (response.destroyed) {
        run.isRunning = false;
        return;
      }
      event += 1;
      response.write(
        `id: ${event}\ndata: {"server":"${this.id}","software":"${version}"}\n\n`,
      );
      if (event >= lastEvent) {
        run.isRunning = false;
        response.end();
        return;
      }
      setTimeout(send, this.eventMs);
    };
    response.once('close', () => (run.isRunning = false));
    setTimeout(send, this.firstMs);
  }
}
