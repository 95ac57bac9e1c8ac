/**
 * Manages the moves of one generation across successive engines.
 */
import type {EndpointEntry} from '@briarpin/coordination';
import {runTask} from '@briarpin/telemetry';

import {chooseCopyTarget} from '../choose_placement/choose_placement.js';
import {computeCopyMilliseconds} from '../compute_copy_milliseconds/compute_copy_milliseconds.js';
import type {EligibleEndpoint} from '../endpoint_eligibility/endpoint_eligibility.js';
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';
import {
  dropCopy,
  moveRun,
  type MoveResult,
} from '../run_evacuation/run_evacuation.js';
import type {StoppedRun} from '../stopped_run/stopped_run.js';
import type {EndpointStream} from '../endpoint_stream/endpoint_stream.js';

/**
 * Delay before the link is released to other runs, so that the request for the
 * last copy reaches the source engine before the copy requests of other
 * gateways: about a round trip between two regions.
 */
const HANDOVER_DELAY_MILLISECONDS = 25;

/**
 * Delay before another move of a run that stayed at its engine, for example
 * because no engine had capacity; capacity usually becomes available soon.
 */
const RETRY_DELAY_MILLISECONDS = 120;

/**
 * Time within which a stream ends if its engine exited and thereby broke the
 * copy call; a stream that continues means that only the call failed.
 */
const SOURCE_END_TIMEOUT_MILLISECONDS = 50;

/** Properties of an endpoint stream that a move needs. */
export type MovingEndpointStream = Pick<
  EndpointStream,
  'endpoint' | 'checkpointHolder'
>;

/** Current state of the generation. */
export interface MovingGeneration {
  /** Endpoint stream that is being read; undefined between two engines. */
  readonly endpointStream: () => MovingEndpointStream | undefined;
  /** Number of events that the generation has produced. */
  readonly eventCount: () => number;
}

/** Moves a generation from each engine that shuts down while running it. */
export class RunMover {
  /** Earliest time of the next move, in milliseconds of the clock. */
  private retryAt = Number.NEGATIVE_INFINITY;
  /**
   * Endpoint stream whose last copy is in progress; the link is available to
   * other runs.
   */
  private handedOverStream: MovingEndpointStream | undefined;
  /** Endpoint stream whose run the engine has been requested to stop. */
  private stoppingStream: MovingEndpointStream | undefined;
  /** Resolves when the move in progress releases the link of the engine. */
  private linkRelease: Promise<void> | undefined;
  /** The move in progress, or the one that stopped the run. */
  private move: Promise<MoveResult> | undefined;

  /**
   * @param exchange - The request
   * @param context - Shared context of the gateway
   * @param generation - Current engine and progress
   */
  constructor(
    private readonly exchange: Exchange,
    private readonly context: ForwardingContext,
    private readonly generation: MovingGeneration,
  ) {}

  /** True when the run may be moved now if its engine shuts down. */
  get isMovable(): boolean {
    return (
      this.handedOverStream !== this.generation.endpointStream() &&
      this.context.clock.now() >= this.retryAt
    );
  }

  /** True when the engine of a stream has been requested to stop its run. */
  isStopping(stream: MovingEndpointStream): boolean {
    return this.stoppingStream === stream;
  }

  /**
   * Moves the run from an engine that is shutting down. Resolves when the link
   * of the engine is free for the copy of another run.
   *
   * @param source - The engine
   * @param isOnlyRun - True when no other run is to be moved from the engine;
   *   allows targets in other regions
   */
  moveAway(source: EndpointEntry, isOnlyRun: boolean): Promise<void> {
    this.linkRelease ??= this.moveOnce(source, isOnlyRun).finally(
      () => (this.linkRelease = undefined),
    );
    return this.linkRelease;
  }

  /** Moves the run; must not be called while a move holds the link. */
  private async moveOnce(
    source: EndpointEntry,
    isOnlyRun: boolean,
  ): Promise<void> {
    const {exchange, context, generation} = this;
    const {requestId} = exchange.metadata;
    const endpointStream = generation.endpointStream();
    const isAtSource = () =>
      generation.endpointStream() === endpointStream &&
      endpointStream?.endpoint.id === source.id;
    if (requestId === undefined || !this.isMovable || !isAtSource()) {
      return;
    }
    const stopping = createDeferred();
    const moving = moveRun(
      {
        requestId,
        source,
        targetGapMilliseconds: exchange.route.targetGapMilliseconds,
        idleLinkMilliseconds: this.estimateCopyMilliseconds(),
        prepareTarget: target => context.client.preconnect(target),
        isAtSource,
        chooseTarget: excluded => {
          const target = this.chooseTarget(source, excluded, isOnlyRun);
          if (target !== undefined) {
            context.coldEndpoints.recordSend(target);
          }
          return target;
        },
        mayCopyTo: target => context.eligibility.permits(exchange, target),
        mayResumeAtSource: () => context.eligibility.permits(exchange, source),
      },
      context,
      () => {
        this.stoppingStream = endpointStream;
        stopping.resolve();
      },
    );
    this.move = moving;
    const result = await Promise.race([
      moving,
      stopping.promise.then(() =>
        context.clock.sleep(HANDOVER_DELAY_MILLISECONDS),
      ),
    ]);
    if (result?.kind === 'source_lost') {
      await context.clock.sleep(SOURCE_END_TIMEOUT_MILLISECONDS);
      if (isAtSource()) {
        this.discardMove();
        this.postponeMove(source, 'the call was cut, and the run goes on');
      }
    } else if (result?.kind !== 'kept') {
      this.handedOverStream = endpointStream;
    } else if (isAtSource()) {
      this.move = undefined;
      this.postponeMove(source, result.reason);
    }
  }

  /**
   * Waits for the current move to finish and clears it.
   *
   * @returns How to resume the run; undefined when no move stopped it
   */
  async waitForStoppedRun(): Promise<StoppedRun | undefined> {
    const result = await this.move;
    this.move = undefined;
    return result === undefined || result.kind === 'kept' ? undefined : result;
  }

  /**
   * Discards the current move and releases its copy once the move has finished.
   */
  discardMove(): void {
    const {move, context} = this;
    if (move === undefined) {
      return;
    }
    this.move = undefined;
    runTask('abandon_move', context.logger, async () => {
      const result = await move;
      if (result.kind !== 'kept' && result.kind !== 'stopped_at_source') {
        const {target, memorySource} = result;
        dropCopy({target, handle: memorySource.handle}, context);
      }
    });
  }

  /** Logs a failed move and delays the next one. */
  private postponeMove(source: EndpointEntry, reason: string): void {
    this.retryAt = this.context.clock.now() + RETRY_DELAY_MILLISECONDS;
    this.context.logger.info('move_failed', {
      request: this.exchange.metadata.requestId,
      source: source.id,
      reason,
    });
  }

  /** Estimates the duration of a full copy on an idle link. */
  private estimateCopyMilliseconds(): number {
    const {metadata, service} = this.exchange;
    const {engine} = service;
    if (engine === undefined) {
      return 0;
    }
    const produced = this.generation.eventCount() * engine.tokensPerEvent;
    return computeCopyMilliseconds(engine, metadata.promptTokens + produced);
  }

  /**
   * Selects the target engine. Prefers the engine that stores a checkpoint of
   * the run, because little remains to be copied.
   */
  private chooseTarget(
    source: EndpointEntry,
    excluded: readonly string[],
    allowsOtherRegions: boolean,
  ): EligibleEndpoint | undefined {
    const {exchange, context} = this;
    const candidates = context.eligibility
      .findAccepting(exchange)
      .filter(({id}) => id !== source.id && !excluded.includes(id));
    const holder = this.generation.endpointStream()?.checkpointHolder;
    return (
      candidates.find(entry => entry.id === holder?.id) ??
      chooseCopyTarget(exchange, context, source, {
        candidates,
        allowsOtherRegions,
      })
    );
  }
}

/** A promise with its resolve function. */
interface Deferred {
  readonly promise: Promise<void>;
  readonly resolve: () => void;
}

function createDeferred(): Deferred {
  let resolve: () => void = () => undefined;
  const promise = new Promise<void>(settle => (resolve = settle));
  return {promise, resolve};
}
