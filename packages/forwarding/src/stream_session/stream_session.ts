/**
 * An event stream to one caller, served by one engine or by several in turn.
 */
import type {EndpointEntry} from '@briarpin/coordination';
import {runTask} from '@briarpin/telemetry';

import {
  chooseCheckpointHolder,
  estimateOutputTokens,
} from '../choose_placement/choose_placement.js';
import type {EvacuatedStream} from '../evacuator/evacuator.js';
import {acquireEngine} from '../acquire_engine/acquire_engine.js';
import {countEngineWork} from '../count_engine_work/count_engine_work.js';
import {failExchange} from '../fail_exchange/fail_exchange.js';
import {sendBufferedResponse} from '../send_buffered_response/send_buffered_response.js';
import {logFailedAttempt} from '../log_failed_attempt/log_failed_attempt.js';
import {resolvePriority} from '../resolve_priority/resolve_priority.js';
import {computeRemainingMilliseconds} from '../compute_remaining_milliseconds/compute_remaining_milliseconds.js';
import {computeRetryAfterMilliseconds} from '../compute_retry_after_milliseconds/compute_retry_after_milliseconds.js';
import type {Exchange, ExchangeResult} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';
import {
  hasSurelyNotRun,
  isEventStream,
  isStreamResponse,
  readFailure,
  type OpenFailure,
  type AttemptFailure,
} from '../open_result/open_result.js';
import {
  logBrokenStream,
  logPlacement,
  logResumption,
  logUnframedEnd,
} from '../log_attempts/log_attempts.js';
import {
  findCheckpoint,
  type ResumePoint,
} from '../find_checkpoint/find_checkpoint.js';
import {explainRejection} from '../explain_rejection/explain_rejection.js';
import {permitRetry} from '../permit_retry/permit_retry.js';
import {recordBrokenStream} from '../record_broken_stream/record_broken_stream.js';
import {showsFault} from '../shows_fault/shows_fault.js';
import {
  confirmStreamOrigin,
  pinStreamOrigin,
} from '../pin_stream_origin/pin_stream_origin.js';
import type {StoppedRun} from '../stopped_run/stopped_run.js';
import {RunMover} from '../run_mover/run_mover.js';
import {
  EndpointStream,
  type EndpointStreamEnd,
} from '../endpoint_stream/endpoint_stream.js';
import {StreamWriter} from '../stream_writer/stream_writer.js';

/** `Retry-After` of a generation that no engine can accept. */
const OVERLOAD_RETRY_MILLISECONDS = 500;

/** Outcome of opening a stream at an endpoint. */
type OpenResult =
  {readonly kind: 'leg'; readonly stream: EndpointStream} | OpenFailure;

/** Failure of a success response that cannot go on with a stream of events. */
const NOT_EVENTS: AttemptFailure = {
  kind: 'failed',
  reason: 'the response does not go on with the events',
  mayHaveRun: true,
  wasSent: true,
};

/** Failure of an exchange whose caller disconnected or whose time is over. */
const CANCELLED: AttemptFailure = {
  kind: 'failed',
  reason: 'the caller left or the time is over',
  mayHaveRun: true,
  wasSent: true,
};

/**
 * Serves an event stream.
 *
 * Forwards each event to the caller as soon as it is complete. A broken stream
 * resumes from a checkpoint of the run if there is one, or as a new run if the
 * route allows that. Otherwise the caller's connection is closed, so that the
 * truncated response does not look complete.
 */
export class StreamSession implements EvacuatedStream {
  private stream: EndpointStream | undefined;
  /** Endpoint that has been sent the request and has not responded yet. */
  private openingEndpoint: EndpointEntry | undefined;
  private sendCount = 0;
  /** True when an attempt so far may have run. */
  private mayHaveRun = false;
  private moveCount = 0;
  private readonly writer: StreamWriter;
  private readonly mover: RunMover;

  /**
   * @param exchange - The request
   * @param context - Services shared by the request handlers
   */
  constructor(
    private readonly exchange: Exchange,
    private readonly context: ForwardingContext,
  ) {
    this.writer = new StreamWriter(exchange, context);
    this.mover = new RunMover(exchange, context, {
      endpointStream: () => this.stream,
      eventCount: () => this.writer.sentEvents,
    });
  }

  /** Endpoint that currently produces the stream. */
  get endpointId(): string | undefined {
    return this.stream?.endpoint.id ?? this.openingEndpoint?.id;
  }

  /** True once the run has memory that can be copied. */
  get hasCopyableMemory(): boolean {
    return this.stream !== undefined && this.writer.sentEvents > 0;
  }

  /**
   * Serves the stream until it completes or fails.
   *
   * @returns How the exchange ended
   */
  async run(): Promise<ExchangeResult> {
    const budget = this.context.retryBudgets.find(this.exchange.service.name);
    budget.recordFirstAttempt();
    let opened = await this.openNewRun();
    for (;;) {
      if (opened.kind === 'failure_answer') {
        return this.answerWithFailure(opened);
      }
      if (opened.kind === 'failed') {
        return this.fail(opened);
      }
      const {stream} = opened;
      this.stream = stream;
      const end = await stream.run();
      this.stream = undefined;
      this.logUnframedEnd(stream, end);
      // An engine that stops a run for its move closes the stream in the same
      // way as at its end.
      const isAmbiguous =
        stream.framing === 'connection' && this.mover.isStopping(stream);
      if (end.kind === 'complete' && !isAmbiguous) {
        return this.complete(end.remainder);
      }
      if (this.exchange.signal.aborted) {
        this.mover.discardMove();
        this.recordInterrupted(stream.endpoint);
        return this.fail(CANCELLED);
      }
      const moved = await this.mover.waitForStoppedRun();
      if (moved !== undefined) {
        opened = await this.resumeMovedRun(stream, moved);
        continue;
      }
      if (end.kind === 'complete') {
        return this.complete(end.remainder);
      }
      this.recordInterrupted(stream.endpoint);
      this.recordBreak(stream.endpoint);
      recordBrokenStream(this.context.loads, stream);
      opened = await this.resumeBrokenStream(stream, end);
    }
  }

  /** True when the stream cannot outlast its engine unless the run is moved. */
  get dependsOnEngine(): boolean {
    const {service, route} = this.exchange;
    return service.engine?.supportsMoves === true && !route.isResumable;
  }

  /** True when the run should be moved now if its engine shuts down. */
  get isMovable(): boolean {
    return this.dependsOnEngine && this.mover.isMovable;
  }

  /** Tokens that the generation is still expected to produce. */
  get expectedRemainingTokens(): number {
    const {exchange} = this;
    const perEvent = exchange.service.engine?.tokensPerEvent ?? 1;
    const produced = this.writer.sentEvents * perEvent;
    return estimateOutputTokens(exchange) - produced;
  }

  /**
   * Moves the generation off an engine that is shutting down.
   *
   * @param source - The engine
   * @param isAlone - True when no other run has to be moved off the engine
   * @returns Resolves when the engine's link is free for the next copy
   */
  async moveAway(source: EndpointEntry, isAlone: boolean): Promise<void> {
    if (this.isMovable) {
      await this.mover.moveAway(source, isAlone);
    }
  }

  private async openNewRun(): Promise<OpenResult> {
    const {exchange, context} = this;
    let failure: OpenResult | undefined;
    for (;;) {
      const acquisition = acquireEngine(exchange, context);
      const acquired =
        acquisition instanceof Promise ? await acquisition : acquisition;
      if (acquired.kind === 'failed') {
        return acquired;
      }
      if (acquired.kind === 'none') {
        return failure ?? this.rejectForLackOfEngine();
      }
      const {engine} = acquired;
      exchange.triedEndpointIds.push(engine.id);
      logPlacement(exchange, context, engine);
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

  private rejectForLackOfEngine(): OpenResult {
    const reason = explainRejection(
      this.exchange,
      this.context,
      'no engine takes work',
    );
    return {kind: 'failed', reason, mayHaveRun: false, wasSent: false};
  }

  private recordInterrupted(endpoint: EndpointEntry): void {
    this.context.quarantine.recordInterrupted(this.exchange, endpoint);
  }

  /** Finds out whether an endpoint that broke a stream off was started again. */
  private recordBreak(endpoint: EndpointEntry): void {
    const {doubts, logger} = this.context;
    runTask('endpoint_doubt', logger, () => doubts.recordBreak(endpoint));
  }

  /** Logs how a stream ended that has neither a length nor chunks. */
  private logUnframedEnd(stream: EndpointStream, end: EndpointStreamEnd): void {
    if (stream.framing !== 'connection') {
      return;
    }
    logUnframedEnd(this.exchange, this.context, stream.endpoint, {
      end: end.kind,
      reason: end.kind === 'broken' ? end.reason : undefined,
      events: this.writer.sentEvents,
      unfinished: stream.unfinishedBytes,
    });
  }

  private mayRetry(opened: OpenResult): boolean {
    const {exchange, context, sendCount} = this;
    return permitRetry(exchange, context, {
      isNotRun: opened.kind !== 'leg' && hasSurelyNotRun(opened),
      isIdempotent: exchange.route.isResumable,
      sendCount,
      wasSent: opened.kind !== 'failed' || opened.wasSent,
    });
  }

  /** Resumes from a checkpoint, or starts a new run if the route allows it. */
  private async resumeBrokenStream(
    stream: EndpointStream,
    end: EndpointStreamEnd,
  ): Promise<OpenResult> {
    const reason = end.kind === 'broken' ? end.reason : end.kind;
    const failed: OpenResult = {
      kind: 'failed',
      reason,
      mayHaveRun: true,
      wasSent: true,
    };
    logBrokenStream(this.exchange, this.context, stream.endpoint, {
      reason,
      events: this.writer.sentEvents,
      checkpoint: stream.checkpointHolder?.id,
      paused: stream.wasPaused,
    });
    if (!confirmStreamOrigin(this.exchange, this.context, stream.endpoint)) {
      return failed;
    }
    const checkpoint =
      this.writer.sentEvents > 0
        ? findCheckpoint(this.exchange, this.context, stream)
        : undefined;
    if (checkpoint !== undefined) {
      const opened = await this.open(checkpoint);
      this.logResumption(checkpoint.endpoint, opened);
      if (opened.kind === 'leg') {
        return opened;
      }
    }
    if (this.exchange.route.isResumable && this.mayRetry(failed)) {
      return this.openNewRun();
    }
    return failed;
  }

  /**
   * Resumes a run that was stopped to be moved, from the copy of its memory.
   * Falls back to the source if the target has surely not begun to work on it and
   * the source has not been lost.
   */
  private async resumeMovedRun(
    stream: EndpointStream,
    moved: StoppedRun,
  ): Promise<OpenResult> {
    const {memorySource} = moved;
    this.moveCount += 1;
    let opened: OpenResult = {
      kind: 'failed',
      reason: 'no engine may continue the moved run',
      mayHaveRun: true,
      wasSent: true,
    };
    const listHolders = () =>
      this.context.eligibility.listMemoryHolders(
        this.exchange,
        stream.endpoint,
        moved,
      );
    for (const endpoint of listHolders()) {
      await this.waitForPause(endpoint);
      // The configuration may have changed during the wait.
      if (!listHolders().some(({id}) => id === endpoint.id)) {
        continue;
      }
      opened = await this.open({endpoint, memorySource});
      this.logResumption(endpoint, opened);
      if (opened.kind === 'leg' || !hasSurelyNotRun(opened)) {
        break;
      }
    }
    return opened;
  }

  /** Waits while an endpoint wants no requests. */
  private async waitForPause({id}: EndpointEntry): Promise<void> {
    const {clock, limits} = this.context;
    const pause = limits.computePauseMilliseconds(id);
    if (pause > 0) {
      await clock.sleep(pause, this.exchange.signal);
    }
  }

  private logResumption(endpoint: EndpointEntry, opened: OpenResult): void {
    logResumption(this.exchange, this.context, endpoint, {
      outcome: opened.kind,
      events: this.writer.sentEvents,
      reason: opened.kind === 'failed' ? opened.reason : undefined,
    });
  }

  private async open(resumePoint: ResumePoint): Promise<OpenResult> {
    const {exchange, context} = this;
    const {endpoint} = resumePoint;
    const controller = new AbortController();
    const holder = chooseCheckpointHolder(exchange, context, endpoint);
    const countedWork = countEngineWork(exchange, context, {
      endpoint,
      checkpointHolder: holder,
      hasMemory: resumePoint.memorySource !== undefined,
    });
    this.openingEndpoint = endpoint;
    const result = await context.client.send({
      endpoint,
      method: exchange.request.method ?? 'POST',
      path: exchange.request.url ?? '/',
      headers: context.dialect.buildAttemptHeaders(
        exchange.request.rawHeaders,
        exchange.body.length,
        {
          endpointId: endpoint.id,
          remainingMilliseconds: computeRemainingMilliseconds(
            exchange,
            context,
          ),
          organisation: exchange.organisation?.name,
          priority: resolvePriority(exchange),
          checkpointTarget: holder,
          lastEventId: this.writer.lastEventId,
          memorySource: resumePoint.memorySource,
        },
      ),
      body: exchange.body,
      requestId: exchange.metadata.requestId,
      mayReuseConnection: false,
      signal: AbortSignal.any([exchange.signal, controller.signal]),
    });
    this.openingEndpoint = undefined;
    this.sendCount += result.kind === 'not_sent' ? 0 : 1;
    if (!isStreamResponse(result)) {
      countedWork.release();
      context.loads.recordOutcome(endpoint.id, true);
      if (result.kind !== 'answered' && showsFault(exchange, context)) {
        context.loads.recordFault(endpoint);
      }
      const failure = await readFailure(result, exchange.memory);
      this.mayHaveRun ||= failure.kind !== 'failed' || failure.mayHaveRun;
      const reason =
        failure.kind === 'failed' ? failure.reason : 'the engine failed';
      logFailedAttempt(exchange, context, endpoint.id, reason);
      if (failure.kind === 'failure_answer') {
        context.quarantine.recordFailureAnswer(exchange);
      } else if (failure.mayHaveRun) {
        this.recordInterrupted(endpoint);
      }
      return failure;
    }
    this.mayHaveRun = true;
    if (this.writer.sentEvents > 0 && !isEventStream(result.response)) {
      countedWork.release();
      controller.abort();
      logFailedAttempt(exchange, context, endpoint.id, NOT_EVENTS.reason);
      return NOT_EVENTS;
    }
    context.loads.recordLoad(endpoint.id, result.metadata.load);
    this.writer.recordResponse(result.response);
    const stream: EndpointStream = new EndpointStream({
      endpoint,
      response: result.response,
      framing: result.framing,
      clock: context.clock,
      confirmEnd: result.confirmEnd,
      abort: () => controller.abort(),
      checkpointHolder: holder,
      releaseLoad: countedWork.release,
      memory: exchange.memory,
      onEvents: batch => {
        countedWork.recordEvents(batch.eventCount);
        if (
          stream.receivedEvents === 0 &&
          !pinStreamOrigin(exchange, context, endpoint, {
            hasMemory: resumePoint.memorySource !== undefined,
          })
        ) {
          stream.stop('the endpoint came back with other software');
          return undefined;
        }
        return this.writer.write(batch);
      },
      onPause: countedWork.recordPause,
    });
    return {kind: 'leg', stream};
  }

  private complete(remainder: Buffer): ExchangeResult {
    this.mover.discardMove();
    this.context.quarantine.recordCompleted(this.exchange);
    const reason =
      this.moveCount > 0 ? `moved ${this.moveCount} times` : undefined;
    return {...this.writer.complete(remainder), reason};
  }

  /**
   * Sends the error response of an engine, unless events have been sent: nothing
   * but events may follow them.
   */
  private answerWithFailure(
    answer: OpenFailure & {kind: 'failure_answer'},
  ): ExchangeResult {
    if (!this.exchange.response.headersSent) {
      return sendBufferedResponse(this.exchange, this.context, answer);
    }
    return this.fail({
      kind: 'failed',
      reason: `the engine that should go on failed with ${answer.status}`,
      mayHaveRun: true,
      wasSent: true,
    });
  }

  private fail({
    reason,
    mayHaveRun,
    retryAfterMilliseconds,
  }: AttemptFailure): ExchangeResult {
    const {exchange, context} = this;
    const {response} = exchange;
    if (response.headersSent) {
      response.destroy();
      return {outcome: 'unknown', status: response.statusCode, reason};
    }
    if (response.destroyed) {
      return {outcome: 'left', status: 0, reason};
    }
    return failExchange(exchange, context, {
      reason,
      mayHaveRun: mayHaveRun || this.mayHaveRun,
      retryAfterMilliseconds:
        retryAfterMilliseconds ??
        computeRetryAfterMilliseconds(
          exchange,
          context,
          OVERLOAD_RETRY_MILLISECONDS,
        ),
    });
  }
}
