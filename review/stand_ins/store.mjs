/**
 * A stand-in for the platform's store: keyed topics over HTTP, as PROTOCOL.md
 * describes them.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setInterval, setTimeout} from 'node:timers';

const ENDPOINTS_TOPIC = 'keyed.servers';

/** An entry is removed after this many heartbeat intervals of silence. */
const INTERVALS_UNTIL_EXPIRY = 3;

/** Time that the store takes for an answer. */
const ANSWER_MILLISECONDS = 4;

const PAGE_HEADER_BYTES = 16;
const LENGTH_BYTES = 4;
const MAXIMUM_PAGE_ITEMS = 500;

/** Largest page of records that a read returns (`MaxKb`). */
const DEFAULT_PAGE_KILOBYTES = 1_024;

/** One topic: its records, and the newest value of each key. */
class Topic {
  constructor() {
    this.records = [];
    this.newest = new Map();
    this.waiting = new Set();
  }

  append(key, value) {
    this.records.push({key, value});
    if (value.length === 0) {
      this.newest.delete(key);
    } else {
      this.newest.set(key, {value, offset: this.records.length - 1});
    }
    for (const resume of [...this.waiting]) {
      resume();
    }
  }
}

/** A store that keeps all records in memory and loses none of them. */
export class Store {
  /**
   * @param {{heartbeatMilliseconds: number, onRecord?: Function}} options
   *   Interval of the servers' heartbeats; `onRecord` is called for each record
   *   with its topic, key and value
   */
  constructor({heartbeatMilliseconds, onRecord = () => undefined}) {
    this.heartbeatMilliseconds = heartbeatMilliseconds;
    this.onRecord = onRecord;
    this.topics = new Map();
    this.heartbeatAt = new Map();
    this.lateWrites = new Map();
    this.server = http.createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 30_000;
    setInterval(() => this.expireEntries(), 20).unref();
  }

  /** Listens on a free loopback port and returns it. */
  listen() {
    return new Promise(resolve =>
      this.server.listen(0, '127.0.0.1', () =>
        resolve(this.server.address().port),
      ),
    );
  }

  /** Appends a record, as its writer asks for; no value removes the key. */
  put(topicName, key, value) {
    const bytes =
      value === undefined
        ? Buffer.alloc(0)
        : Buffer.from(JSON.stringify(value));
    this.append(topicName, key, bytes);
  }

  append(topicName, key, value) {
    if (topicName === ENDPOINTS_TOPIC) {
      if (value.length === 0) {
        this.heartbeatAt.delete(key);
      } else {
        this.heartbeatAt.set(key, performance.now());
      }
    }
    this.onRecord(topicName, key, value);
    this.findTopic(topicName).append(key, value);
  }

  /**
   * Makes the next write of a server's entry get no answer and be done later.
   *
   * @returns Resolves when the write has arrived
   */
  delayNextEntry(key, milliseconds) {
    return new Promise(resolve =>
      this.lateWrites.set(key, {milliseconds, onArrival: resolve}),
    );
  }

  findTopic(name) {
    const topic = this.topics.get(name) ?? new Topic();
    this.topics.set(name, topic);
    return topic;
  }

  /** Removes the entries of servers that have been silent for too long. */
  expireEntries() {
    const oldest =
      performance.now() - this.heartbeatMilliseconds * INTERVALS_UNTIL_EXPIRY;
    for (const [key, at] of [...this.heartbeatAt]) {
      if (at < oldest) {
        this.put(ENDPOINTS_TOPIC, key);
      }
    }
  }

  async handle(request, response) {
    const body = await readBody(request);
    await sleep(ANSWER_MILLISECONDS);
    response.setHeader('Store-Era', '1');
    const url = new URL(request.url, 'http://store');
    const topicName = url.searchParams.get('Topic') ?? '';
    const topic = this.findTopic(topicName);
    switch (url.pathname) {
      case '/briarpin/log-append': {
        const first = topic.records.length;
        const records = decodeRecords(body);
        const late = this.lateWrites.get(records[0]?.key);
        if (topicName === ENDPOINTS_TOPIC && late !== undefined) {
          const [{key, value}] = records;
          this.lateWrites.delete(key);
          setTimeout(
            () => this.append(topicName, key, value),
            late.milliseconds,
          );
          late.onArrival();
          return;
        }
        for (const {key, value} of records) {
          this.append(topicName, key, value);
        }
        sendJson(response, {Offset: first, End: topic.records.length});
        return;
      }
      case '/briarpin/log-newest':
        sendNewest(response, topic, url.searchParams.get('After'));
        return;
      case '/briarpin/log-read':
        await sendRecords(request, response, topic, url.searchParams);
        return;
      default:
        response.writeHead(404);
        response.end();
    }
  }
}

async function sendRecords(request, response, topic, query) {
  const from = Number(query.get('From'));
  if (from > topic.records.length) {
    response.writeHead(410, {'Content-Type': 'application/json'});
    response.end(JSON.stringify({First: 0}));
    return;
  }
  const wait = Number(query.get('WaitMs') ?? 0);
  if (from === topic.records.length && wait > 0) {
    await new Promise(resolve => {
      const resume = () => {
        topic.waiting.delete(resume);
        clearTimeout(timer);
        request.socket.removeListener('close', resume);
        resolve();
      };
      const timer = setTimeout(resume, wait);
      topic.waiting.add(resume);
      request.socket.once('close', resume);
    });
  }
  const header = Buffer.alloc(PAGE_HEADER_BYTES);
  header.writeBigUInt64BE(BigInt(topic.records.length), 0);
  const limit = Number(query.get('MaxKb') ?? DEFAULT_PAGE_KILOBYTES) * 1_024;
  const page = [];
  let size = 0;
  for (const record of topic.records.slice(from)) {
    const encoded = encodeRecord(record);
    size += encoded.length;
    if (page.length > 0 && size > limit) {
      break;
    }
    page.push(encoded);
  }
  response.end(Buffer.concat([header, ...page]));
}

function sendNewest(response, topic, after) {
  const keys = [...topic.newest.keys()]
    .sort()
    .filter(key => after === null || key > after);
  sendJson(response, {
    Items: keys.slice(0, MAXIMUM_PAGE_ITEMS).map(key => {
      const {value, offset} = topic.newest.get(key);
      return {Key: key, Value: value.toString('base64'), Offset: offset};
    }),
    HasMore: keys.length > MAXIMUM_PAGE_ITEMS,
    End: topic.records.length,
  });
}

function sendJson(response, value) {
  response.writeHead(200, {'Content-Type': 'application/json'});
  response.end(JSON.stringify(value));
}

/** Encodes a record: its length, the length of the key, key and value. */
export function encodeRecord({key, value}) {
  const keyBytes = Buffer.from(key);
  const content = Buffer.concat([
    Buffer.from([keyBytes.length]),
    keyBytes,
    value,
  ]);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

function decodeRecords(body) {
  const records = [];
  let start = 0;
  while (start + LENGTH_BYTES <= body.length) {
    const end = start + LENGTH_BYTES + body.readUInt32BE(start);
    const content = body.subarray(start + LENGTH_BYTES, end);
    const keyEnd = 1 + content[0];
    records.push({
      key: content.toString('utf8', 1, keyEnd),
      value: Buffer.from(content.subarray(keyEnd)),
    });
    start = end;
  }
  return records;
}

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function sleep(milliseconds) {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}
