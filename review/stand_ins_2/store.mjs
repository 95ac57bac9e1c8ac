/**
 * A stand-in for the platform's metadata store, as PROTOCOL.md describes it:
 * keyed topics of one partition, read as a log or as the newest of each key.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

/** Most items in a page of `/briarpin/log-newest`. */
const PAGE_ITEMS = 500;

/** Time that each answer takes, in milliseconds, as the sheets state it. */
const ANSWER_MILLISECONDS = 4;

/** Keeps keyed topics in memory and serves them over HTTP. */
export class Store {
  /** `serves` or `silent`: calls are accepted and never answered. */
  behaviour = 'serves';
  era = 1;
  topics = new Map();

  async start() {
    this.server = http.createServer((request, response) => {
      void this.handle(request, response);
    });
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    this.port = this.server.address().port;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a value, or removes the key if there is none. */
  put(topicName, key, value) {
    const bytes =
      value instanceof Buffer
        ? value
        : Buffer.from(value === undefined ? '' : JSON.stringify(value));
    const topic = this.find(topicName);
    topic.records.push({key, value: bytes});
    if (bytes.length === 0) {
      topic.newest.delete(key);
    } else {
      topic.newest.set(key, {value: bytes, offset: topic.records.length - 1});
    }
    topic.waiting.forEach(resume => resume());
  }

  /** Copies the contents of this moment, for {@link restore}. */
  copy() {
    return [...this.topics].map(([name, {records, newest}]) => [
      name,
      {records: [...records], newest: new Map(newest), waiting: new Set()},
    ]);
  }

  /** Goes away for a moment. */
  goAway() {
    this.behaviour = 'silent';
    this.server.closeAllConnections();
  }

  /** Comes back, from a copy if there is one. */
  comeBack(copy) {
    if (copy !== undefined) {
      this.topics = new Map(copy);
      this.era += 1;
    }
    this.server.closeAllConnections();
    this.behaviour = 'serves';
  }

  find(name) {
    const topic = this.topics.get(name) ?? {
      records: [],
      newest: new Map(),
      waiting: new Set(),
    };
    this.topics.set(name, topic);
    return topic;
  }

  async handle(request, response) {
    const chunks = [];
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.on('data', chunk => chunks.push(chunk));
    await new Promise(resolve =>
      request.on('close', resolve).on('end', resolve),
    );
    await sleep(ANSWER_MILLISECONDS);
    if (this.behaviour !== 'serves') {
      return;
    }
    const url = new URL(request.url, 'http://store');
    const topic = this.find(url.searchParams.get('Topic') ?? '');
    response.setHeader('Store-Era', String(this.era));
    switch (url.pathname) {
      case '/briarpin/log-append':
        this.append(response, url, Buffer.concat(chunks));
        break;
      case '/briarpin/log-newest':
        sendNewest(response, topic, url.searchParams.get('After'));
        break;
      case '/briarpin/log-read':
        await this.read(request, response, topic, url.searchParams);
        break;
      default:
        sendJson(response, 404, {});
    }
  }

  append(response, url, body) {
    const name = url.searchParams.get('Topic');
    if (name === 'keyed.op' || name === 'keyed.servers') {
      sendJson(response, 403, {});
      return;
    }
    const topic = this.find(name);
    const first = topic.records.length;
    for (let start = 0; start + 4 <= body.length;) {
      const end = start + 4 + body.readUInt32BE(start);
      const content = body.subarray(start + 4, end);
      const keyEnd = 1 + content[0];
      this.put(
        name,
        content.toString('utf8', 1, keyEnd),
        content.subarray(keyEnd),
      );
      start = end;
    }
    sendJson(response, 200, {Offset: first, End: topic.records.length});
  }

  async read(request, response, topic, query) {
    const from = Number(query.get('From'));
    if (from > topic.records.length) {
      sendJson(response, 410, {First: 0});
      return;
    }
    const wait = Number(query.get('WaitMs') ?? 0);
    if (from === topic.records.length && wait > 0) {
      await waitForRecord(request, topic, wait);
    }
    if (this.behaviour !== 'serves' || response.destroyed) {
      return;
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const records = topic.records.slice(from).map(encodeRecord);
    response.writeHead(200);
    response.end(Buffer.concat([header, ...records]));
  }
}

function waitForRecord(request, topic, milliseconds) {
  return new Promise(resolve => {
    const resume = () => {
      topic.waiting.delete(resume);
      request.socket.off('close', resume);
      clearTimeout(timer);
      resolve();
    };
    const timer = setTimeout(resume, milliseconds);
    topic.waiting.add(resume);
    request.socket.once('close', resume);
  });
}

function sendNewest(response, topic, after) {
  const keys = [...topic.newest.keys()]
    .sort()
    .filter(key => after === null || key > after);
  sendJson(response, 200, {
    Items: keys.slice(0, PAGE_ITEMS).map(key => {
      const {value, offset} = topic.newest.get(key);
      return {Key: key, Value: value.toString('base64'), Offset: offset};
    }),
    HasMore: keys.length > PAGE_ITEMS,
    End: topic.records.length,
  });
}

function sendJson(response, status, body) {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}

function encodeRecord({key, value}) {
  const keyBytes = Buffer.from(key);
  const head = Buffer.alloc(5);
  head.writeUInt32BE(1 + keyBytes.length + value.length, 0);
  head[4] = keyBytes.length;
  return Buffer.concat([head, keyBytes, value]);
}

export function sleep(milliseconds) {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}
