/**
 * One stream to a caller, over all endpoints that produce a part of it.
 */
import type {EndpointEntry} from '@briarpin/coordination';

import {
  chooseCheckpointHolder,
  chooseEngine,
  computeMemoryShare,
  estimateOutputTokens,
} from '../choose_placement/choose_placement.js';
import type {MemorySource} from '../dialect/dialect.js';
import type {EndpointCandidate} from '../endpoint_loads/endpoint_loads.js';
import type {EvacuatedStream} from '../evacuator/evacuator.js';
import {countEngineWork} from '../count_engine_work/count_engine_work.js';
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
import {permitRetry} from '../permit_retry/permit_retry.js';
import type {StoppedRun} from '../run_evacuation/run_evacuation.js';
import {RunMover} from '../run_mover/run_mover.js';
import {StreamLeg, type LegEnd} from '../stream_leg/stream_leg.js';
import {StreamWriter} from '../stream_writer/stream_writer.js';

/** When a caller may come back whose generation found no room. */
const CROWDED_RETRY_MILLISECONDS = 500;

/** A copy of the run's memory that the next endpoint goes on from. */
interface Continuation {
  readonly endpoint: EndpointEntry;
  readonly memorySource?: MemorySource;
}

/** What opening a leg came to. */
type Opened = {readonly kind: 'leg'; readonly leg: StreamLeg} | OpenFailure;

/** The caller left, or its time is over. */
const GIVEN_UP: Unanswered = {
  kind: 'failed',
  reason: 'the caller left or the time is over',
  mayHaveRun: true,
  wasSent: true,
};

/**
 * Serves a stream of events.
 *
 * Events reach the caller as they come, each whole. A stream that breaks goes
 * on where a checkpoint of the run is kept, or as a new run where the route
 * allows that; otherwise the connection ends, so that the answer does not
 * look complete.
 */
export class StreamSession implements EvacuatedStream {
  private leg: StreamLeg | undefined;
  /** Endpoint that the request was sent to and that has not answered yet. */
  private opening: EndpointEntry | undefined;
  private sends = 0;
  private moves = 0;
  private readonly writer: StreamWriter;
  private readonly mover: RunMover;

  /**
   * @param exchange - The request
   * @param parts - Parts of the gateway
   */
  constructor(
    private readonly exchange: Exchange,
    private readonly parts: ForwardingParts,
  ) {
    this.writer = new StreamWriter(exchange, parts);
    this.mover = new RunMover(exchange, parts, {
      endpointStream: () => this.leg,
      eventCount: () => this.writer.events,
    });
  }

  /** Endpoint that produces the stream now. */
  get endpointId(): string | undefined {
    return this.leg?.endpoint.id ?? this.opening?.id;
  }

  /** True once the run has a memory that can be copied. */
  get hasCopyableMemory(): boolean {
    return this.leg !== undefined && this.writer.events > 0;
  }

  /**
   * Serves the stream to its end.
   *
   * @returns How it ended
   */
  async run(): Promise<ExchangeEnd> {
    const budget = this.parts.retryBudgets.find(this.exchange.service.name);
    budget.recordFirstAttempt();
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
        this.mover.discardMove();
        return this.complete(end.remainder);
      }
      if (this.exchange.signal.aborted) {
        this.mover.discardMove();
        return this.conclude(GIVEN_UP);
      }
      const moved = await this.mover.waitForStoppedRun();
      if (moved !== undefined) {
        opened = await this.openMoved(leg, moved);
        continue;
      }
      opened = await this.openNext(leg, end);
    }
  }

  /** True when the stream would be lost with its engine, unless it is moved. */
  get dependsOnEngine(): boolean {
    const {service, route} = this.exchange;
    return service.engine?.supportsMoves === true && !route.isResumable;
  }

  /** True when the run should be moved now if its engine leaves. */
  get isMovable(): boolean {
    return this.dependsOnEngine && this.mover.isMovable;
  }

  /** Tokens that the generation is expected to produce from now on. */
  get expectedRemainingTokens(): number {
    const {exchange} = this;
    const perEvent = exchange.service.engine?.tokensPerEvent ?? 1;
    const produced = this.writer.events * perEvent;
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
    if (this.isMovable) {
      await this.mover.moveAway(source, isAlone);
    }
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

  private logPlaced(engine: EndpointCandidate): void {
    const {exchange, parts} = this;
    parts.logger.info('placed', {
      request: exchange.facts.requestId,
      endpoint: engine.id,
      open: engine.openRequests,
      memory: computeMemoryShare(exchange, engine).toFixed(2),
      wait: Math.round(engine.waitMilliseconds),
      failures: engine.failureShare.toFixed(2),
    });
  }

  private mayRetry(opened: Opened): boolean {
    const {exchange, parts, sends} = this;
    return permitRetry(exchange, parts, {
      notRun: opened.kind === 'failed' && !opened.mayHaveRun,
      idempotent: exchange.route.isResumable,
      sends,
      wasSent: opened.kind !== 'failed' || opened.wasSent,
    });
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
      events: this.writer.events,
      checkpoint: leg.checkpointHolder?.id,
    });
    const checkpoint =
      this.writer.events > 0 ? this.findCheckpoint(leg) : undefined;
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
      events: this.writer.events,
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
          lastEventId: this.writer.lastEventId,
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
      parts.loads.recordOutcome(endpoint.id, true);
      const failure = await readFailure(result);
      const reason =
        failure.kind === 'failed' ? failure.reason : 'the engine failed';
      logFailedAttempt(exchange, parts, endpoint.id, reason);
      return failure;
    }
    this.writer.noteAnswer(result.response);
    const leg = new StreamLeg({
      endpoint,
      response: result.response,
      isWhole: result.isWhole,
      abort: () => controller.abort(),
      checkpointHolder: holder,
      release: counted.release,
      onEvent: event => {
        counted.recordEvent();
        return this.writer.write(event);
      },
    });
    return {kind: 'leg', leg};
  }

  private complete(remainder: Buffer): ExchangeEnd {
    const reason = this.moves > 0 ? `moved ${this.moves} times` : undefined;
    return {...this.writer.complete(remainder), reason};
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
