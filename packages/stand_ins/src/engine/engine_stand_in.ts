/**
 * Stand-in for a model engine.
 */
import {createHash, randomUUID} from 'node:crypto';
import type http from 'node:http';

import type {EngineOrder} from '@briarpin/messages';

import type {BrokenAnswerCycle} from '../http/broken_answer_cycle.js';
import {
  readJson,
  sendJson,
  startServer,
  type ListeningServer,
} from '../http/json_server.js';
import {EngineBatch, type BatchedGeneration} from './engine_batch.js';

const CHARACTERS_PER_TOKEN = 4;
const PROMPT_WITH_LENGTH_AND_SEED = /\blen=(\d+) seed=(\d+)/;
const CRASHING_PROMPT = /\bcrash\b/;
const BROKEN_PROMPT = /\bbroken\b/;
const GENERATION_PATH = /^\/v1\/generations\/([^/?]+)/;
const MINIMUM_HASHED_LENGTH_TOKENS = 8;
const HASHED_LENGTH_RANGE_TOKENS = 120;
const RETENTION_AFTER_END_MILLISECONDS = 10_000;

/** Options of an {@link EngineStandIn}. */
export interface EngineStandInOptions {
  readonly memoryCapacityTokens: number;
  /** Interval between decoding steps. */
  readonly stepMilliseconds: number;
  /** Models that are loaded at the start. */
  readonly models: readonly string[];
  /** True to reject orders with a stale fencing number. */
  readonly checksFencing: boolean;
}

/** Fault to inject into the stand-in. */
export type EngineFault =
  /** Closes every connection and discards every generation. */
  | {readonly kind: 'crash'; readonly downMilliseconds: number}
  /** Closes the connections of streams; generations continue. */
  | {readonly kind: 'cut_streams'}
  /** Pauses or resumes decoding and writing tokens. */
  | {readonly kind: 'stall'; readonly on: boolean}
  /** Leaves reads of the load without a response for a time. */
  | {readonly kind: 'silence_load'; readonly milliseconds: number};

/** Ledger entry of a completion that was started. */
export interface LedgerEntry {
  readonly requestId: string;
  readonly prompt: string;
  /** Unix time in milliseconds. */
  readonly startedAt: number;
  /** Unix time in milliseconds. */
  finishedAt?: number;
  tokens: number;
  end?: 'done' | 'cancelled' | 'crashed';
}

interface EngineGeneration extends BatchedGeneration {
  readonly seed: string;
  readonly readers: Set<StreamReader>;
  readonly entry: LedgerEntry;
  ended: boolean;
}

interface StreamReader {
  readonly response: http.ServerResponse;
  nextIndex: number;
  hasBackpressure: boolean;
}

/** Received order and the status of its response. */
export interface ReceivedOrder extends EngineOrder {
  readonly status: number;
}

/**
 * Model engine that generates numbered tokens without running a model.
 *
 * A prompt with `len=<length> seed=<seed>` sets the generated text, and a
 * prompt with the word `crash` crashes the engine. Answers to a prompt with the
 * word `broken` may be broken.
 */
export class EngineStandIn {
  private readonly generations = new Map<string, EngineGeneration>();
  private batch: EngineBatch;
  private listening: ListeningServer | undefined;
  private timer: NodeJS.Timeout | undefined;
  private epoch: string = randomUUID();
  private models: Set<string>;
  private fencingNumber = 0;
  private loadUnansweredUntil = 0;
  private downUntil = 0;
  private stalled = false;
  private arrivalCount = 0;
  readonly ledger: LedgerEntry[] = [];
  readonly orders: ReceivedOrder[] = [];
  /** Answers prompts with the word `broken` while it is set. */
  brokenAnswers: BrokenAnswerCycle | undefined;
  /** Answers reads of the load while it is set. */
  brokenLoads: BrokenAnswerCycle | undefined;
  crashes = 0;

  constructor(private readonly options: EngineStandInOptions) {
    this.batch = new EngineBatch(options.memoryCapacityTokens);
    this.models = new Set(options.models);
  }

  /** Starts the server and decoding, and returns the base URL. */
  async start(port = 0): Promise<string> {
    this.listening = await startServer(
      (request, response) => this.handle(request, response),
      port,
    );
    this.timer = setInterval(() => this.step(), this.options.stepMilliseconds);
    return this.listening.url;
  }

  /** Stops decoding and the server. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await this.listening?.close();
  }

  /** Injects a fault, or ends a stall. */
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
        this.loadUnansweredUntil = Date.now() + fault.milliseconds;
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
      this.startGeneration(
        (await readJson(request)) as CompletionBody,
        response,
      );
    } else if (url.pathname === '/load') {
      if (this.brokenLoads !== undefined) {
        await this.brokenLoads.answer(response);
      } else if (Date.now() >= this.loadUnansweredUntil) {
        sendJson(response, 200, this.load());
      }
    } else if (url.pathname === '/orders') {
      this.handleOrder((await readJson(request)) as EngineOrder, response);
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
    body: CompletionBody,
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
    const {length, seed} = parsePrompt(prompt);
    this.arrivalCount += 1;
    const generation: EngineGeneration = {
      id,
      priority: body.priority ?? 0,
      promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
      length: Math.min(length, body.max_tokens ?? length),
      generated: 0,
      arrival: this.arrivalCount,
      seed,
      readers: new Set(),
      entry,
      ended: false,
    };
    this.generations.set(id, generation);
    this.batch.add(generation);
    this.attachReader(generation, 0, response);
  }

  private resume(
    id: string,
    fromIndex: number,
    response: http.ServerResponse,
  ): void {
    const generation = this.generations.get(id);
    if (generation === undefined) {
      sendJson(response, 404, {});
      return;
    }
    this.attachReader(generation, fromIndex, response);
  }

  private attachReader(
    generation: EngineGeneration,
    fromIndex: number,
    response: http.ServerResponse,
  ): void {
    if (
      this.brokenAnswers !== undefined &&
      BROKEN_PROMPT.test(generation.entry.prompt)
    ) {
      void this.brokenAnswers.answer(response);
      return;
    }
    response.writeHead(200, {'Content-Type': 'text/event-stream'});
    response.flushHeaders();
    const reader: StreamReader = {
      response,
      nextIndex: fromIndex,
      hasBackpressure: false,
    };
    generation.readers.add(reader);
    response.on('close', () => generation.readers.delete(reader));
    response.on('drain', () => {
      reader.hasBackpressure = false;
      this.writePendingTokens(generation, reader);
    });
    this.writePendingTokens(generation, reader);
  }

  private writePendingTokens(
    generation: EngineGeneration,
    reader: StreamReader,
  ): void {
    const {response} = reader;
    if (this.stalled || reader.hasBackpressure || response.writableEnded) {
      return;
    }
    const events: string[] = [];
    for (; reader.nextIndex < generation.generated; reader.nextIndex += 1) {
      const index = reader.nextIndex;
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
      reader.hasBackpressure = !response.write(events.join(''));
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
      generation.readers.forEach(reader =>
        this.writePendingTokens(generation, reader),
      );
    }
  }

  private endGeneration(
    generation: EngineGeneration,
    end: LedgerEntry['end'],
  ): void {
    generation.ended = true;
    generation.entry.end = end;
    generation.entry.finishedAt = Date.now();
    const evict = () => this.generations.delete(generation.id);
    setTimeout(evict, RETENTION_AFTER_END_MILLISECONDS).unref();
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

  private handleOrder(order: EngineOrder, response: http.ServerResponse): void {
    const isStale = order.fencingNumber < this.fencingNumber;
    const status = this.options.checksFencing && isStale ? 409 : 200;
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

interface CompletionBody {
  readonly request_id: string;
  readonly model: string;
  readonly prompt: string;
  readonly max_tokens?: number;
  readonly priority?: number;
}

/**
 * Reads the length and the seed from a prompt, or derives them from its hash
 * when it has none.
 */
function parsePrompt(prompt: string): {length: number; seed: string} {
  const match = PROMPT_WITH_LENGTH_AND_SEED.exec(prompt);
  if (match !== null) {
    return {length: Math.max(1, Number(match[1])), seed: match[2] ?? ''};
  }
  const hash = createHash('sha256').update(prompt).digest();
  const hashedLength = hash.readUInt32BE(0) % HASHED_LENGTH_RANGE_TOKENS;
  return {
    length: MINIMUM_HASHED_LENGTH_TOKENS + hashedLength,
    seed: hash.toString('hex', 4, 8),
  };
}
