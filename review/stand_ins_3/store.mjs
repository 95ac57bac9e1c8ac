/**
 * Stand-in for the platform's store: keyed topics over HTTP, in memory.
 */
import {Buffer} from 'node:buffer';
import {URL} from 'node:url';
import {clearTimeout, setTimeout} from 'node:timers';
import http from 'node:http';

const PAGE_ITEMS = 500;
const HEADER_BYTES = 16;
const LENGTH_BYTES = 4;

/** The store of the platform, with one partition for each topic. */
export class Store {
  /** `serves`, or `silent`: accepts calls and answers none. */
  mode = 'serves';
  era = 1;
  #topics = new Map();
  #sockets = new Set();
  #server = http.createServer((request, response) => {
    void this.#handle(request, response);
  });

  /** Starts to listen on a free loopback port. */
  async start() {
    this.#server.on('connection', socket => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    await new Promise(resolve => this.#server.listen(0, '127.0.0.1', resolve));
    this.port = this.#server.address().port;
  }

  /** Closes the store and its connections. */
  stop() {
    this.#server.close();
    this.#sockets.forEach(socket => socket.destroy());
  }

  /** Writes a value as the operator or a server does; an absent value removes it. */
  put(topicName, key, value) {
    const bytes = Buffer.from(
      value === undefined ? '' : JSON.stringify(value),
      'utf8',
    );
    this.#append(this.#find(topicName), key, bytes);
  }

  /** Copies the contents, for {@link restore}. */
  copy() {
    return [...this.#topics].map(([name, {records}]) => [name, [...records]]);
  }

  /** Returns from a copy: what was written since is gone. */
  restore(copy) {
    this.era += 1;
    this.#topics.clear();
    for (const [name, records] of copy) {
      const topic = this.#find(name);
      records.forEach(({key, value}) => this.#append(topic, key, value));
    }
    this.#sockets.forEach(socket => socket.destroy());
  }

  #find(name) {
    let topic = this.#topics.get(name);
    if (topic === undefined) {
      topic = {records: [], newest: new Map(), waiting: new Set()};
      this.#topics.set(name, topic);
    }
    return topic;
  }

  #append(topic, key, value) {
    const offset = topic.records.length;
    topic.records.push({key, value});
    if (value.length === 0) {
      topic.newest.delete(key);
    } else {
      topic.newest.set(key, {value, offset});
    }
    topic.waiting.forEach(wake => wake());
    return offset;
  }

  async #handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    if (this.mode === 'silent') {
      return;
    }
    response.setHeader('Store-Era', String(this.era));
    const topic = this.#find(url.searchParams.get('Topic') ?? '');
    switch (url.pathname) {
      case '/briarpin/log-append':
        this.#handleAppend(response, topic, Buffer.concat(chunks));
        break;
      case '/briarpin/log-newest':
        this.#sendNewest(response, topic, url.searchParams.get('After'));
        break;
      case '/briarpin/log-read':
        await this.#sendRecords(response, topic, url.searchParams);
        break;
      default:
        sendJson(response, 404, {});
    }
  }

  #handleAppend(response, topic, body) {
    let offset = topic.records.length;
    const first = offset;
    for (let at = 0; at + LENGTH_BYTES <= body.length;) {
      const end = at + LENGTH_BYTES + body.readUInt32BE(at);
      const content = body.subarray(at + LENGTH_BYTES, end);
      const keyEnd = 1 + content[0];
      const key = content.toString('utf8', 1, keyEnd);
      offset = this.#append(topic, key, content.subarray(keyEnd)) + 1;
      at = end;
    }
    sendJson(response, 200, {Offset: first, End: offset});
  }

  #sendNewest(response, topic, after) {
    const keys = [...topic.newest.keys()]
      .sort()
      .filter(key => after === null || key > after);
    const items = keys.slice(0, PAGE_ITEMS).map(key => ({
      Key: key,
      Value: topic.newest.get(key).value.toString('base64'),
      Offset: topic.newest.get(key).offset,
    }));
    const hasMore = keys.length > PAGE_ITEMS;
    sendJson(response, 200, {
      Items: items,
      HasMore: hasMore,
      End: topic.records.length,
    });
  }

  async #sendRecords(response, topic, query) {
    const from = Number(query.get('From'));
    if (from > topic.records.length) {
      sendJson(response, 410, {First: 0});
      return;
    }
    const wait = Number(query.get('WaitMs') ?? 0);
    if (from === topic.records.length && wait > 0) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          topic.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, wait);
        topic.waiting.add(wake);
      });
    }
    if (this.mode === 'silent' || response.destroyed) {
      return;
    }
    const header = Buffer.alloc(HEADER_BYTES);
    header.writeBigUInt64BE(BigInt(topic.records.length), 0);
    header.writeBigUInt64BE(0n, 8);
    const records = topic.records.slice(from).map(encodeRecord);
    response.writeHead(200);
    response.end(Buffer.concat([header, ...records]));
  }
}

function encodeRecord({key, value}) {
  const keyBytes = Buffer.from(key, 'utf8');
  const content = Buffer.concat([
    Buffer.from([keyBytes.length]),
    keyBytes,
    value,
  ]);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

function sendJson(response, status, body) {
  response.writeHead(status, {'Content-Type': 'application/json'});
  response.end(JSON.stringify(body));
}
