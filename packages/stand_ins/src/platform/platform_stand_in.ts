/**
 * Stand-in for the platform: append-only log streams and membership list.
 */
import type http from 'node:http';

import type {LogPage, MemberList} from '@briarpin/messages';

import type {BrokenAnswerCycle} from '../http/broken_answer_cycle.js';
import {
  readJson,
  sendJson,
  startServer,
  type ListeningServer,
} from '../http/json_server.js';

const MAXIMUM_PAGE_RECORDS = 1_000;
const STREAM_PATH = /^\/streams\/([^/]+)\/records$/;

/** Fault to inject into the stand-in. */
export type PlatformFault =
  /** Closes the connection of every request. */
  | {readonly kind: 'outage'; readonly on: boolean}
  /** Delays every request; 0 ends the delay. */
  | {readonly kind: 'slow'; readonly milliseconds: number}
  /** Applies the next appends and drops their responses. */
  | {readonly kind: 'lose_answers'; readonly count: number}
  /** Deletes the records before an offset. */
  | {readonly kind: 'trim'; readonly stream: string; readonly before: number}
  /** Delays changes of the membership list. */
  | {readonly kind: 'membership_lag'; readonly milliseconds: number}
  /** Serves the current membership list without later changes. */
  | {readonly kind: 'membership_frozen'; readonly on: boolean};

/** Membership list and the time of its publication. */
interface MembershipSnapshot {
  /** Unix time in milliseconds. */
  readonly time: number;
  readonly members: MemberList;
}

interface Stream {
  records: LogPage['records'];
  earliest: number;
  /** Callbacks that complete the waiting long polls. */
  readonly pendingReads: Set<() => void>;
}

/** In-memory platform. */
export class PlatformStandIn {
  private readonly streams = new Map<string, Stream>();
  private memberHistory: MembershipSnapshot[] = [{time: 0, members: []}];
  private outage = false;
  private delayMilliseconds = 0;
  private responsesToDrop = 0;
  private membershipLagMilliseconds = 0;
  private frozenMembers: MemberList | undefined;
  private listening: ListeningServer | undefined;
  /** Answers in place of the platform while it is set. */
  brokenAnswers: BrokenAnswerCycle | undefined;
  /** Number of processed requests, by kind. */
  readonly counts = {append: 0, read: 0, members: 0};

  /** Starts the server and returns its base URL. */
  async start(port = 0): Promise<string> {
    this.listening = await startServer(
      (request, response) => this.handle(request, response),
      port,
    );
    return this.listening.url;
  }

  /** Stops the server and closes its connections. */
  async stop(): Promise<void> {
    await this.listening?.close();
  }

  /** Injects a fault or ends it. */
  setFault(fault: PlatformFault): void {
    switch (fault.kind) {
      case 'outage':
        this.outage = fault.on;
        break;
      case 'slow':
        this.delayMilliseconds = fault.milliseconds;
        break;
      case 'lose_answers':
        this.responsesToDrop = fault.count;
        break;
      case 'trim':
        this.trim(fault.stream, fault.before);
        break;
      case 'membership_lag':
        this.membershipLagMilliseconds = fault.milliseconds;
        break;
      case 'membership_frozen':
        this.frozenMembers = fault.on ? this.visibleMembers() : undefined;
        break;
    }
  }

  /** Replaces the membership list; requests receive it after the lag. */
  setMembers(members: MemberList): void {
    this.memberHistory.push({time: Date.now(), members});
  }

  /** Latest membership list, regardless of lag and freeze. */
  get members(): MemberList {
    return this.memberHistory.at(-1)?.members ?? [];
  }

  /** Appends a record without an HTTP request and returns its offset. */
  append(name: string, value: unknown): number {
    const stream = this.stream(name);
    const last = stream.records.at(-1)?.offset ?? stream.earliest - 1;
    const offset = last + 1;
    stream.records.push({offset, value});
    for (const completeRead of stream.pendingReads) {
      completeRead();
    }
    return offset;
  }

  /** Returns the records of a stream that have not been trimmed. */
  records(name: string): LogPage['records'] {
    return this.stream(name).records;
  }

  private async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '', 'http://platform');
    if (url.pathname.startsWith('/_')) {
      await this.handleControl(url.pathname, request, response);
      return;
    }
    if (this.delayMilliseconds > 0) {
      await new Promise(resolve => setTimeout(resolve, this.delayMilliseconds));
    }
    if (this.outage) {
      response.destroy();
      return;
    }
    if (this.brokenAnswers !== undefined) {
      await this.brokenAnswers.answer(response);
      return;
    }
    const stream = STREAM_PATH.exec(url.pathname)?.[1];
    if (url.pathname === '/members') {
      this.counts.members += 1;
      sendJson(response, 200, this.visibleMembers());
    } else if (stream !== undefined && request.method === 'POST') {
      await this.handleAppend(stream, request, response);
    } else if (stream !== undefined && request.method === 'GET') {
      await this.handleRead(stream, url.searchParams, response);
    } else {
      sendJson(response, 404, {});
    }
  }

  private async handleControl(
    path: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const body = await readJson(request);
    if (path === '/_fault') {
      this.setFault(body as PlatformFault);
    } else if (path === '/_members') {
      this.setMembers(body as MemberList);
    }
    sendJson(response, 200, {});
  }

  private async handleAppend(
    stream: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const value = await readJson(request);
    this.counts.append += 1;
    const offset = this.append(stream, value);
    if (this.responsesToDrop > 0) {
      this.responsesToDrop -= 1;
      response.destroy();
      return;
    }
    sendJson(response, 200, {offset});
  }

  private async handleRead(
    name: string,
    query: URLSearchParams,
    response: http.ServerResponse,
  ): Promise<void> {
    this.counts.read += 1;
    const from = Number(query.get('from') ?? '1');
    const stream = this.stream(name);
    if (from < stream.earliest) {
      sendJson(response, 410, {earliest: stream.earliest});
      return;
    }
    let page = readPage(stream, from);
    if (page.records.length === 0) {
      await waitForRecord(stream, Number(query.get('waitMs') ?? '0'), response);
      page = readPage(stream, from);
    }
    if (this.outage) {
      response.destroy();
      return;
    }
    sendJson(response, 200, page);
  }

  private stream(name: string): Stream {
    const existing = this.streams.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const created: Stream = {records: [], earliest: 1, pendingReads: new Set()};
    this.streams.set(name, created);
    return created;
  }

  private trim(name: string, before: number): void {
    const stream = this.stream(name);
    stream.records = stream.records.filter(record => record.offset >= before);
    stream.earliest = Math.max(stream.earliest, before);
  }

  private visibleMembers(): MemberList {
    if (this.frozenMembers !== undefined) {
      return this.frozenMembers;
    }
    const latestVisibleTime = Date.now() - this.membershipLagMilliseconds;
    const visible = this.memberHistory.filter(
      entry => entry.time <= latestVisibleTime,
    );
    return visible.at(-1)?.members ?? [];
  }
}

function readPage(stream: Stream, from: number): LogPage {
  const first = stream.records[0]?.offset ?? from;
  const start = Math.max(0, from - first);
  const records = stream.records.slice(start, start + MAXIMUM_PAGE_RECORDS);
  const last = records.at(-1);
  return {records, next: last === undefined ? from : last.offset + 1};
}

function waitForRecord(
  stream: Stream,
  milliseconds: number,
  response: http.ServerResponse,
): Promise<void> {
  return new Promise(resolve => {
    const finish = () => {
      clearTimeout(timer);
      stream.pendingReads.delete(finish);
      response.off('close', finish);
      resolve();
    };
    const timer = setTimeout(finish, milliseconds);
    stream.pendingReads.add(finish);
    response.on('close', finish);
  });
}
