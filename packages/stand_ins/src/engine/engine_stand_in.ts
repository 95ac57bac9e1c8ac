/**
 * A stand-in for a model engine.
 */
import {createHash, randomUUID} from 'node:crypto';
import type http from 'node:http';

import type {EngineOrder} from '@briarpin/messages';

import {
  readJson,
  sendJson,
  startServer,
  type ListeningServer,
} from '../http/json_server.js';
import {EngineBatch, type BatchedGeneration} from './batch.js';

const CHARACTERS_PER_TOKEN = 4;
const EXACT_PROMPT = /\blen=(\d+) seed=(\d+)/;
const CRASHING_PROMPT = /\bcrash\b/;
const GENERATION_PATH = /^\/v1\/generations\/([^/?]+)/;
const SHORTEST_DRAWN_TOKENS = 8;
const DRAWN_TOKENS_RANGE = 120;
const KEPT_AFTER_END = 10_000;

/** Options of an {@link EngineStandIn}. */
export interface EngineStandInOptions {
  readonly memoryCapacityTokens: number;
  readonly stepMilliseconds: number;
  readonly models: readonly string[];
  /** True when orders with an old fencing number are refused. */
  readonly checksFencing: boolean;
}

/** A fault that the stand-in is asked to show. */
export type EngineFault =
  /** Breaks every connection and forgets every generation. */
  | {readonly kind: 'crash'; readonly downMilliseconds: number}
  /** Breaks the connections of streams; generations go on. */
  | {readonly kind: 'cut_streams'}
  /** Stops or continues writing tokens. */
  | {readonly kind: 'stall'; readonly on: boolean}
  /** Leaves reads of the load unanswered for a time. */
  | {readonly kind: 'silence_load'; readonly milliseconds: number};

/** One line of the ledger: what really ran. */
export interface LedgerEntry {
  readonly requestId: string;
  readonly prompt: string;
  readonly startedAt: number;
  finishedAt?: number;
  tokens: number;
  end?: 'done' | 'cancelled' | 'crashed';
}

interface EngineGeneration extends BatchedGeneration {
  readonly seed: string;
  readonly readers: Set<Reader>;
  readonly entry: LedgerEntry;
  ended: boolean;
}

interface Reader {
  readonly response: http.ServerResponse;
  next: number;
  blocked: boolean;
}

/** An order that the engine took. */
export interface TakenOrder extends EngineOrder {
  readonly status: number;
}

/** A model engine that counts tokens and computes nothing. */
export class EngineStandIn {
  private readonly generations = new Map<string, EngineGeneration>();
  private batch: EngineBatch;
  private listening: ListeningServer | undefined;
  private timer: NodeJS.Timeout | undefined;
  private epoch: string = randomUUID();
  private models: Set<string>;
  private fencingNumber = 0;
  private loadSilentUntil = 0;
  private downUntil = 0;
  private stalled = false;
  private arrivals = 0;
  readonly ledger: LedgerEntry[] = [];
  readonly orders: TakenOrder[] = [];
  crashes = 0;

  constructor(private readonly options: EngineStandInOptions) {
    this.batch = new EngineBatch(options.memoryCapacityTokens);
    this.models = new Set(options.models);
  }

  /** Starts the server and the decoding. */
  async start(port = 0): Promise<string> {
    this.listening = await startServer(
      (request, response) => this.handle(request, response),
      port,
    );
    this.timer = setInterval(() => this.step(), this.options.stepMilliseconds);
    return this.listening.url;
  }

  /** Stops the server. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await this.listening?.close();
  }

  /** Shows a fault. */
  setFault(fault: EngineFault): void {
    switch (fault.kind) {
      case 'crash':
        this.crash(fault.downMilliseconds);
        break;
      case 'cut_streams':
        for (const generation of this.generations.values()) {
          generation.readers.forEach(reader => reader.response.destroy());
        }
        break;
      case 'stall':
        this.stalled = fault.on;
        break;
      case 'silence_load':
        this.loadSilentUntil = Date.now() + fault.milliseconds;
        break;
    }
  }

  private crash(downMilliseconds: number): void {
    this.crashes += 1;
    this.downUntil = Date.now() + downMilliseconds;
    this.epoch = randomUUID();
    for (const generation of this.generations.values()) {
      if (!generation.ended) {
        this.endGeneration(generation, 'crashed');
      }
      generation.readers.forEach(reader => reader.response.destroy());
    }
    this.generations.clear();
    this.batch = new EngineBatch(this.options.memoryCapacityTokens);
    this.listening?.server.closeAllConnections();
  }

  private async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '', 'http://engine');
    if (url.pathname === '/_ledger') {
      sendJson(response, 200, this.ledger);
      return;
    }
    if (url.pathname === '/_fault') {
      this.setFault((await readJson(request)) as EngineFault);
      sendJson(response, 200, {});
      return;
    }
    if (Date.now() < this.downUntil) {
      response.destroy();
      return;
    }
    await this.handleEngine(url, request, response);
  }

  private async handleEngine(
    url: URL,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const id = decodeURIComponent(
      GENERATION_PATH.exec(url.pathname)?.[1] ?? '',
    );
    if (url.pathname === '/v1/completions') {
      this.startGeneration((await readJson(request)) as StartBody, response);
    } else if (url.pathname === '/load') {
      if (Date.now() >= this.loadSilentUntil) {
        sendJson(response, 200, this.load());
      }
    } else if (url.pathname === '/orders') {
      this.takeOrder((await readJson(request)) as EngineOrder, response);
    } else if (id !== '' && request.method === 'DELETE') {
      this.cancel(id);
      sendJson(response, 200, {});
    } else if (id !== '') {
      this.resume(id, Number(url.searchParams.get('from') ?? '0'), response);
    } else {
      sendJson(response, 404, {});
    }
  }

  private startGeneration(
    body: StartBody,
    response: http.ServerResponse,
  ): void {
    const {prompt, request_id: id} = body;
    if (!this.models.has(body.model)) {
      sendJson(response, 404, {});
      return;
    }
    const entry: LedgerEntry = {
      requestId: id,
      prompt,
      startedAt: Date.now(),
      tokens: 0,
    };
    this.ledger.push(entry);
    if (CRASHING_PROMPT.test(prompt)) {
      entry.end = 'crashed';
      this.crash(0);
      return;
    }
    const {length, seed} = readPrompt(prompt);
    this.arrivals += 1;
    const generation: EngineGeneration = {
      id,
      priority: body.priority ?? 0,
      promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
      length: Math.min(length, body.max_tokens ?? length),
      generated: 0,
      arrival: this.arrivals,
      seed,
      readers: new Set(),
      entry,
      ended: false,
    };
    this.generations.set(id, generation);
    this.batch.add(generation);
    this.attach(generation, 0, response);
  }

  private resume(
    id: string,
    from: number,
    response: http.ServerResponse,
  ): void {
    const generation = this.generations.get(id);
    if (generation === undefined) {
      sendJson(response, 404, {});
      return;
    }
    this.attach(generation, from, response);
  }

  private attach(
    generation: EngineGeneration,
    from: number,
    response: http.ServerResponse,
  ): void {
    response.writeHead(200, {'Content-Type': 'text/event-stream'});
    response.flushHeaders();
    const reader: Reader = {response, next: from, blocked: false};
    generation.readers.add(reader);
    response.on('close', () => generation.readers.delete(reader));
    response.on('drain', () => {
      reader.blocked = false;
      this.write(generation, reader);
    });
    this.write(generation, reader);
  }

  private write(generation: EngineGeneration, reader: Reader): void {
    const {response} = reader;
    if (this.stalled || reader.blocked || response.writableEnded) {
      return;
    }
    const events: string[] = [];
    for (; reader.next < generation.generated; reader.next += 1) {
      const index = reader.next;
      const isLast = index === generation.length - 1;
      const data = JSON.stringify({
        index,
        text: `w${generation.seed}-${index} `,
        finish_reason: isLast ? 'stop' : null,
      });
      events.push(`data: ${data}\n\n`);
    }
    if (generation.ended) {
      events.push('data: [DONE]\n\n');
      response.end(events.join(''));
    } else if (events.length > 0) {
      reader.blocked = !response.write(events.join(''));
    }
  }

  private cancel(id: string): void {
    const generation = this.generations.get(id);
    if (generation !== undefined && !generation.ended) {
      this.batch.remove(id);
      this.endGeneration(generation, 'cancelled');
      generation.readers.forEach(reader => reader.response.destroy());
      this.generations.delete(id);
    }
  }

  private step(): void {
    if (this.stalled) {
      return;
    }
    const {advanced, finished} = this.batch.step();
    for (const generation of finished) {
      this.endGeneration(generation as EngineGeneration, 'done');
    }
    for (const advancedGeneration of advanced) {
      const generation = advancedGeneration as EngineGeneration;
      generation.entry.tokens = generation.generated;
      generation.readers.forEach(reader => this.write(generation, reader));
    }
  }

  private endGeneration(
    generation: EngineGeneration,
    end: LedgerEntry['end'],
  ): void {
    generation.ended = true;
    generation.entry.end = end;
    generation.entry.finishedAt = Date.now();
    const forget = () => this.generations.delete(generation.id);
    setTimeout(forget, KEPT_AFTER_END).unref();
  }

  private load() {
    return {
      memoryCapacityTokens: this.batch.capacityTokens,
      memoryUsedTokens: this.batch.usedTokens,
      running: this.batch.runningCount,
      waiting: this.batch.waitingCount,
      asOf: Date.now(),
      models: [...this.models],
      preemptions: this.batch.preemptions,
      epoch: this.epoch,
    };
  }

  private takeOrder(order: EngineOrder, response: http.ServerResponse): void {
    const isOld = order.fencingNumber < this.fencingNumber;
    const status = this.options.checksFencing && isOld ? 409 : 200;
    this.orders.push({...order, status});
    if (status === 200) {
      this.fencingNumber = Math.max(this.fencingNumber, order.fencingNumber);
      if (order.kind === 'load') {
        this.models.add(order.model ?? '');
      } else if (order.kind === 'unload') {
        this.models.delete(order.model ?? '');
      }
    }
    sendJson(response, status, {});
  }
}

interface StartBody {
  readonly request_id: string;
  readonly model: string;
  readonly prompt: string;
  readonly max_tokens?: number;
  readonly priority?: number;
}

/** Length and seed of a prompt; drawn from its hash when it names none. */
function readPrompt(prompt: string): {length: number; seed: string} {
  const exact = EXACT_PROMPT.exec(prompt);
  if (exact !== null) {
    return {length: Math.max(1, Number(exact[1])), seed: exact[2] ?? ''};
  }
  const hash = createHash('sha256').update(prompt).digest();
  const drawn = hash.readUInt32BE(0) % DRAWN_TOKENS_RANGE;
  return {
    length: SHORTEST_DRAWN_TOKENS + drawn,
    seed: hash.toString('hex', 4, 8),
  };
}
