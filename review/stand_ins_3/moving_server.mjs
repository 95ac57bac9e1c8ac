/**
 * Stand-in for a model server whose runs can be moved to another one.
 */
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {randomBytes} from 'node:crypto';

import {ModelServer} from './model_server.mjs';

/** Time that a copy of a run's memory takes, in milliseconds. */
const COPY_MILLISECONDS = 30;

/** A model server with the calls by which runs are moved. */
export class MovingServer extends ModelServer {
  /** True if the answer of the next moved run is to be lost. */
  losesNextMovedAnswer = false;
  /** Runs that have a connection, by request. */
  #active = new Map();
  /** Memory of runs that go on from here, by the name of the copy. */
  #memory = new Map();

  /** Handles the calls that move runs, and requests. */
  handle(request, response) {
    const path = request.url.split('?')[0];
    if (path !== '/briarpin/kv-move' && !path.startsWith('/briarpin/kv-h')) {
      super.handle(request, response);
      return;
    }
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      if (path === '/briarpin/kv-move') {
        this.#move(JSON.parse(chunks.join('')), response);
      } else {
        sendJson(response, 200, {});
      }
    });
  }

  /** Keeps a copy of a run's memory, as its source sends it. */
  keep(name, run) {
    this.#memory.set(name, run);
  }

  #move({Id: id, Target: target, Last: last}, response) {
    const run = this.#active.get(id);
    if (run === undefined || run.event === run.after) {
      sendJson(response, 404, {});
      return;
    }
    run.handle ??= randomBytes(4).toString('hex');
    if (last) {
      this.log(`server ${this.id} stops ${id} after event ${run.event}`);
      this.#active.delete(id);
      run.end('stopped for a move');
      run.connection.end();
    }
    setTimeout(() => {
      const name = `${this.address}/${run.handle}`;
      this.peers.get(target)?.keep(name, id);
      if (last) {
        this.keep(name, id);
      }
      sendJson(response, 200, {Handle: run.handle, CreateRev: run.event});
    }, COPY_MILLISECONDS);
  }

  /** Runs a stream, or goes on with one whose memory is here. */
  run(request, response) {
    const {headers, url} = request;
    const id = headers['x-briarpin-request-id'];
    const copy = headers['kv-from'];
    if (copy !== undefined && this.#memory.get(copy) !== id) {
      response.writeHead(503, {
        'X-Briarpin-Not-Executed': '1',
        'X-Briarpin-Request-Id': id,
      });
      response.end();
      return;
    }
    this.#memory.delete(copy);
    const after = Number(headers['last-event-id'] ?? 0);
    const run = {
      id,
      server: this.id,
      after,
      event: after,
      startedAt: Date.now(),
      connection: response.socket,
    };
    run.end = reason => {
      if (run.endedAt === undefined) {
        clearInterval(run.timer);
        run.endedAt = Date.now();
        this.log(`server ${this.id} ends work on ${id}: ${reason}`);
      }
    };
    this.runs.push(run);
    this.#active.set(id, run);
    this.log(
      `server ${this.id} works on ${id} after event ${after}${copy === undefined ? '' : ` from ${copy}`}`,
    );
    const isLost = copy !== undefined && this.losesNextMovedAnswer;
    if (isLost) {
      this.hasLostAnswer = true;
      // Only one answer is lost.
      this.peers.forEach(server => (server.losesNextMovedAnswer = false));
      this.log(`server ${this.id} loses its answer to ${id}, and works on`);
      response.socket.resetAndDestroy();
    } else {
      response.writeHead(200, {
        'Content-Type': 'text/event-stream',
        'X-Briarpin-Request-Id': id,
        'X-Briarpin-Server-Stamp': `${this.id}.${this.born}.${this.runs.length}`,
        'X-Briarpin-Weight-Versions': '1',
        'X-Briarpin-Server-Load': '1,0,24',
      });
      response.once('close', () => run.end('its connection is closed'));
    }
    const lastEvent = url.endsWith('/short') ? 3 : this.events;
    run.timer = setInterval(() => {
      run.event += 1;
      if (!isLost) {
        response.write(
          `id: ${run.event}\ndata: {"server":"${this.id}","software":"${this.version}"}\n\n`,
        );
      }
      if (run.event >= lastEvent) {
        run.end('complete');
        this.#active.delete(id);
        response.end();
      }
    }, this.eventMs);
  }
}

function sendJson(response, status, body) {
  response.writeHead(status, {'Content-Type': 'application/json'});
  response.end(JSON.stringify(body));
}
