/**
 * One stream to a caller, over all endpoints that produce a part of it.
 */
import type {IncomingMessage} from 'node:http';

import type {EndpointEntry} from '@briarpin/coordination';
import {decideRetry} from '@briarpin/scheduling';
import {runTask} from '@briarpin/telemetry';

import {
  chooseCheckpointHolder,
  chooseCopyTarget,
  chooseEngine,
  computeMemoryShare,
  estimateOutputTokens,
} from '../choose_placement/choose_placement.js';
import {computeCopyMilliseconds} from '../compute_copy_milliseconds/compute_copy_milliseconds.js';
import type {MemorySource} from '../dialect/dialect.js';
import type {EndpointChoice} from '../endpoint_loads/endpoint_loads.js';
import {countEngineWork} from '../count_engine_work/count_engine_work.js';
import type {WholeEvent} from '../event_splitter/event_splitter.js';
import {
  answerUnanswered,
  deliverAnswer,
  findUntried,
  logFailedAttempt,
  rankUrgency,
  remainingMilliseconds,
  type Exchange,
  type ExchangeEnd,
  type ForwardingParts,
} from '../exchange/exchange.js';
import {
  isStream,
  readFailure,
  type OpenFailure,
  type Unanswered,
} from '../open_result/open_result.js';
import {
  moveRun,
  type MoveResult,
  type StoppedRun,
} from '../run_evacuation/run_evacuation.js';
import {StreamLeg, type LegEnd} from '../stream_leg/stream_leg.js';

/** When a caller may come back whose generation found no room. */
const CROWDED_RETRY_MILLISECONDS = 500;

/**
 * Time after which a last copy is ahead of those that other gateways ask for:
 * about a round trip between two regions.
 */
const HANDOVER_MILLISECONDS = 25;

/** Pause before a run is moved again that found no room: room comes soon. */
const KEPT_MILLISECONDS = 120;

/** A copy of the run's memory that the next endpoint goes on from. */
interface Continuation {
  readonly endpoint: EndpointEntry;
  readonly memorySource?: MemorySource;
}

/** What opening a leg came to. */
type Opened = {readonly kind: 'leg'; readonly leg: StreamLeg} | OpenFailure;

/**
 * Serves a stream of events.
 *
 * Events reach the caller as they come, each whole. A stream that breaks goes
 * on where a checkpoint of the run is kept, or as a new run where the route
 * allows that; otherwise the connection ends, so that the answer does not
 * look complete.
 */
export class StreamSession {
  private leg: StreamLeg | undefined;
  /** Endpoint that the request was sent to and that has not answered yet. */
  private opening: EndpointEntry | undefined;
  /** The first answer that held a stream. */
  private head: IncomingMessage | undefined;
  private lastEventId: string | undefined;
  private events = 0;
  private firstMilliseconds: number | undefined;
  private sends = 0;
  private moves = 0;
  /** When a run that found no room is tried again, by the clock. */
  private keptUntil = Number.NEGATIVE_INFINITY;
  /** The leg whose last copy runs, so that another run may use the link. */
  private handedOver: StreamLeg | undefined;
  /** The move of the run that is going on, or that has stopped it. */
  private move: Promise<MoveResult> | undefined;

  /**
   * @param exchange - The request
   * @param parts - Parts of the gateway
   */
  constructor(
    private readonly exchange: Exchange,
    private readonly parts: ForwardingParts,
  ) {}

  /** Endpoint that produces the stream now. */
  get endpointId(): string | undefined {
    return this.leg?.endpoint.id ?? this.opening?.id;
  }

  /** True once the run has a memory that can be copied. */
  get hasBegun(): boolean {
    return this.leg !== undefined && this.events > 0;
  }

  /**
   * Serves the stream to its end.
   *
   * @returns How it ended
   */
  async run(): Promise<ExchangeEnd> {
    const budget = this.parts.retryBudgets.find(this.exchange.service.name);
    budget.noteFirstAttempt();
    let opened = await this.openFirst();
    for (;;) {
      if (opened.kind === 'failure_answer') {
        return deliverAnswer(this.exchange, this.parts, opened);
      }
      if (opened.kind === 'failed') {
        return this.conclude(opened);
      }
      const {leg} = opened;
      this.leg = leg;
      const end = await leg.run();
      this.leg = undefined;
      if (end.kind === 'complete') {
        return this.complete(end.remainder);
      }
      const moved = await this.takeMove();
      if (moved !== undefined) {
        opened = await this.openMoved(leg, moved);
        continue;
      }
      if (this.exchange.signal.aborted) {
        const reason = 'the caller left or the time is over';
        return this.conclude({
          kind: 'failed',
          reason,
          mayHaveRun: true,
          wasSent: true,
        });
      }
      opened = await this.openNext(leg, end);
    }
  }

  /** True when the stream would be lost with its engine, unless it is moved. */
  get endsWithEngine(): boolean {
    const {service, route} = this.exchange;
    return service.engine?.supportsMoves === true && !route.isResumable;
  }

  /** True when the run should be moved now if its engine leaves. */
  get isMovable(): boolean {
    return (
      this.endsWithEngine &&
      this.handedOver !== this.leg &&
      this.parts.clock.now() >= this.keptUntil
    );
  }

  /** Tokens that the generation is expected to produce from now on. */
  get expectedRemainingTokens(): number {
    const {exchange} = this;
    const perEvent = exchange.service.engine?.tokensPerEvent ?? 1;
    const produced = this.events * perEvent;
    return estimateOutputTokens(exchange) - produced;
  }

  /**
   * Moves the generation away from an engine that is leaving.
   *
   * @param source - The engine
   * @param isAlone - True when no other run is to be moved off it
   * @returns When its link is free for the copy of another run
   */
  async moveAway(source: EndpointEntry, isAlone: boolean): Promise<void> {
    const {exchange, parts, leg} = this;
    const {requestId} = exchange.facts;
    const isThere = () => this.leg === leg && leg?.endpoint.id === source.id;
    if (requestId === undefined || !this.isMovable || !isThere()) {
      return;
    }
    await new Promise<void>(resolve => {
      const moved = moveRun(
        {
          requestId,
          source,
          targetGapMilliseconds: exchange.route.targetGapMilliseconds,
          idleLinkMilliseconds: this.estimateCopyMilliseconds(),
          prepareTarget: target => parts.client.prepare(target),
          isThere,
          chooseTarget: excluded =>
            this.chooseMoveTarget(source, excluded, isAlone),
        },
        parts,
        () => {
          runTask('handover', parts.logger, async () => {
            await parts.clock.sleep(HANDOVER_MILLISECONDS);
            this.handedOver = leg;
            resolve();
          });
        },
      );
      this.move = moved;
      runTask('move', parts.logger, async () => {
        const result = await moved;
        if (result.kind !== 'kept') {
          this.handedOver = leg;
        } else if (isThere()) {
          this.move = undefined;
          this.keep(source, result.reason);
        }
        resolve();
      });
    });
  }

  private keep(source: EndpointEntry, reason: string): void {
    this.keptUntil = this.parts.clock.now() + KEPT_MILLISECONDS;
    this.parts.logger.info('move_failed', {
      request: this.exchange.facts.requestId,
      source: source.id,
      reason,
    });
  }

  /** Time for a copy of the whole memory on an idle link. */
  private estimateCopyMilliseconds(): number {
    const {facts, service} = this.exchange;
    const {engine} = service;
    return engine === undefined
      ? 0
      : computeCopyMilliseconds(
          engine,
          facts.promptTokens + this.events * engine.tokensPerEvent,
        );
  }

  /** The engine that holds a checkpoint comes first: little is left to copy. */
  private chooseMoveTarget(
    source: EndpointEntry,
    excluded: readonly string[],
    mayLeaveRegion: boolean,
  ): EndpointEntry | undefined {
    const {exchange, parts} = this;
    const candidates = parts.endpoints
      .findReady(exchange.service.name)
      .filter(entry => entry.id !== source.id && !excluded.includes(entry.id));
    const holder = this.leg?.checkpointHolder;
    return (
      candidates.find(entry => entry.id === holder?.id) ??
      chooseCopyTarget(exchange, parts, source, {candidates, mayLeaveRegion})
    );
  }

  private async openFirst(): Promise<Opened> {
    const {exchange, parts} = this;
    let failure: Opened = {
      kind: 'failed',
      reason: 'no engine takes work',
      mayHaveRun: false,
      wasSent: false,
    };
    for (;;) {
      const candidates = findUntried(exchange, parts);
      const engine = chooseEngine(exchange, parts, candidates);
      if (engine === undefined) {
        return failure;
      }
      exchange.tried.push(engine.id);
      this.logPlaced(engine);
      const opened = await this.open({endpoint: engine.entry});
      if (opened.kind === 'leg' || exchange.signal.aborted) {
        return opened;
      }
      failure = opened;
      if (!this.mayRetry(opened)) {
        return opened;
      }
    }
  }

  private logPlaced(engine: EndpointChoice): void {
    const {exchange, parts} = this;
    parts.logger.info('placed', {
      request: exchange.facts.requestId,
      endpoint: engine.id,
      open: engine.open,
      memory: computeMemoryShare(exchange, engine).toFixed(2),
      wait: Math.round(engine.waitMilliseconds),
      failures: engine.failureShare.toFixed(2),
    });
  }

  private mayRetry(opened: Opened): boolean {
    const {exchange, parts} = this;
    const wasSent = opened.kind !== 'failed' || opened.wasSent;
    const allowed =
      this.sends < exchange.route.maximumAttempts &&
      decideRetry({
        notRun: opened.kind === 'failed' && !opened.mayHaveRun,
        idempotent: exchange.route.isResumable,
        delivered: false,
        remainingMilliseconds: remainingMilliseconds(exchange, parts.clock),
        untriedEndpoints: findUntried(exchange, parts).length,
      });
    const budget = parts.retryBudgets.find(exchange.service.name);
    return allowed && (!wasSent || budget.tryTake());
  }

  /** Goes on after a leg that broke. */
  private async openNext(leg: StreamLeg, end: LegEnd): Promise<Opened> {
    const reason = end.kind === 'broken' ? end.reason : end.kind;
    const failed: Opened = {
      kind: 'failed',
      reason,
      mayHaveRun: true,
      wasSent: true,
    };
    this.parts.logger.info('stream_broke', {
      request: this.exchange.facts.requestId,
      endpoint: leg.endpoint.id,
      reason,
      events: this.events,
      checkpoint: leg.checkpointHolder?.id,
    });
    const checkpoint = this.events > 0 ? this.findCheckpoint(leg) : undefined;
    if (checkpoint !== undefined) {
      const opened = await this.open(checkpoint);
      this.logContinued(checkpoint.endpoint, opened);
      if (opened.kind === 'leg') {
        return opened;
      }
    }
    if (this.exchange.route.isResumable && this.mayRetry(failed)) {
      return this.openFirst();
    }
    return failed;
  }

  /** What the move came to that stopped the run, if one did. */
  private async takeMove(): Promise<StoppedRun | undefined> {
    const result = await this.move;
    this.move = undefined;
    return result === undefined || result.kind === 'kept' ? undefined : result;
  }

  /** Goes on with the memory of a run that was stopped to be moved. */
  private async openMoved(leg: StreamLeg, moved: StoppedRun): Promise<Opened> {
    const {memorySource} = moved;
    this.moves += 1;
    if (moved.kind !== 'stopped_at_source') {
      const opened = await this.open({endpoint: moved.target, memorySource});
      this.logContinued(moved.target, opened);
      if (opened.kind === 'leg' || moved.kind === 'source_lost') {
        return opened;
      }
    }
    const opened = await this.open({endpoint: leg.endpoint, memorySource});
    this.logContinued(leg.endpoint, opened);
    return opened;
  }

  private logContinued(endpoint: EndpointEntry, opened: Opened): void {
    this.parts.logger.info('stream_continued', {
      request: this.exchange.facts.requestId,
      endpoint: endpoint.id,
      outcome: opened.kind,
      events: this.events,
      reason: opened.kind === 'failed' ? opened.reason : undefined,
    });
  }

  private findCheckpoint(leg: StreamLeg): Continuation | undefined {
    const {requestId} = this.exchange.facts;
    const holder = leg.checkpointHolder;
    if (holder === undefined || requestId === undefined) {
      return undefined;
    }
    const endpoint = this.parts.endpoints.find(holder.id);
    if (endpoint?.state !== 'ready') {
      return undefined;
    }
    const {host, port} = endpoint;
    return {endpoint, memorySource: {host, port, handle: requestId}};
  }

  private async open(continuation: Continuation): Promise<Opened> {
    const {exchange, parts} = this;
    const {endpoint} = continuation;
    const controller = new AbortController();
    const holder = chooseCheckpointHolder(exchange, parts, endpoint);
    const counted = countEngineWork(exchange, parts, {
      endpoint,
      checkpointHolder: holder,
      hasMemory: continuation.memorySource !== undefined,
    });
    this.opening = endpoint;
    const result = await parts.client.send({
      endpoint,
      method: exchange.request.method ?? 'POST',
      path: exchange.request.url ?? '/',
      headers: parts.dialect.writeAttempt(
        exchange.request.rawHeaders,
        exchange.body.length,
        {
          endpointId: endpoint.id,
          remainingMilliseconds: remainingMilliseconds(exchange, parts.clock),
          organisation: exchange.organisation?.name,
          urgency: rankUrgency(exchange),
          checkpointAt: holder,
          lastEventId: this.lastEventId,
          memorySource: continuation.memorySource,
        },
      ),
      body: exchange.body,
      requestId: exchange.facts.requestId,
      mayReuseConnection: false,
      signal: AbortSignal.any([exchange.signal, controller.signal]),
    });
    this.opening = undefined;
    this.sends += result.kind === 'not_sent' ? 0 : 1;
    if (!isStream(result)) {
      counted.release();
      parts.loads.note(endpoint.id, true);
      const failure = await readFailure(result);
      const reason =
        failure.kind === 'failed' ? failure.reason : 'the engine failed';
      logFailedAttempt(exchange, parts, endpoint.id, reason);
      return failure;
    }
    this.head ??= result.response;
    const leg = new StreamLeg({
      endpoint,
      response: result.response,
      isWhole: result.isWhole,
      abort: () => controller.abort(),
      checkpointHolder: holder,
      release: counted.release,
      onEvent: event => {
        counted.noteEvent();
        return this.forward(event);
      },
    });
    return {kind: 'leg', leg};
  }

  private forward(event: WholeEvent): Promise<void> | undefined {
    const {response} = this.exchange;
    if (response.destroyed) {
      return undefined;
    }
    this.writeHead();
    this.events += 1;
    this.lastEventId = event.id ?? this.lastEventId;
    if (response.write(event.bytes)) {
      return undefined;
    }
    return new Promise(resolve => {
      response.once('drain', resolve);
      response.once('close', resolve);
    });
  }

  /** The head of the first endpoint is the head of the answer. */
  private writeHead(): void {
    const {response, arrivedAt} = this.exchange;
    const {head} = this;
    if (response.headersSent || head === undefined) {
      return;
    }
    this.firstMilliseconds = this.parts.clock.now() - arrivedAt;
    const headers = this.parts.dialect.writeAnswer(head.rawHeaders);
    if (this.parts.isLeaving()) {
      headers.push('Connection', 'close');
    }
    response.writeHead(head.statusCode ?? 0, headers);
  }

  private complete(remainder: Buffer): ExchangeEnd {
    const {response} = this.exchange;
    this.writeHead();
    response.end(remainder);
    return {
      outcome: 'done',
      status: response.statusCode,
      firstMilliseconds: this.firstMilliseconds,
      reason: this.moves > 0 ? `moved ${this.moves} times` : undefined,
    };
  }

  private conclude({reason, mayHaveRun}: Unanswered): ExchangeEnd {
    const {exchange, parts} = this;
    const {response} = exchange;
    if (response.headersSent) {
      response.destroy();
      return {outcome: 'unknown', status: response.statusCode, reason};
    }
    if (response.destroyed) {
      return {outcome: 'left', status: 0, reason};
    }
    return answerUnanswered(exchange, parts, {
      reason,
      mayHaveRun,
      retryAfterMilliseconds: CROWDED_RETRY_MILLISECONDS,
    });
  }
}
