/**
 * The moves of one generation, whatever engine it is on.
 */
import type {EndpointEntry} from '@briarpin/coordination';
import {runTask} from '@briarpin/telemetry';

import {chooseCopyTarget} from '../choose_placement/choose_placement.js';
import {computeCopyMilliseconds} from '../compute_copy_milliseconds/compute_copy_milliseconds.js';
import type {Exchange, ForwardingContext} from '../exchange/exchange.js';
import {
  dropCopy,
  moveRun,
  type MoveResult,
  type StoppedRun,
} from '../run_evacuation/run_evacuation.js';
import type {EndpointStream} from '../endpoint_stream/endpoint_stream.js';

/**
 * Time after which a last copy is ahead of those that other gateways ask for:
 * about a round trip between two regions.
 */
const HANDOVER_MILLISECONDS = 25;

/** Pause before a run is moved again that found no room: room comes soon. */
const KEPT_MILLISECONDS = 120;

/**
 * Time within which the stream of an engine ends whose calls were cut by its
 * end; if it goes on, only the call was cut.
 */
const SOURCE_END_MILLISECONDS = 50;

/** What a move has to know of an engine's part of a stream. */
export type MovingLeg = Pick<EndpointStream, 'endpoint' | 'checkpointHolder'>;

/** The generation as it is now. */
export interface MovingStream {
  /** The engine's part that is being read; undefined between two engines. */
  readonly leg: () => MovingLeg | undefined;
  /** Events that the generation has produced. */
  readonly events: () => number;
}

/** Moves a generation off engines that leave, one after another. */
export class RunMover {
  /** When a run that found no room is tried again, by the clock. */
  private keptUntil = Number.NEGATIVE_INFINITY;
  /** The leg whose last copy runs, so that another run may use the link. */
  private handedOver: MovingLeg | undefined;
  /** The move that is going on, or that has stopped the run. */
  private move: Promise<MoveResult> | undefined;

  /**
   * @param exchange - The request
   * @param parts - Parts of the gateway
   * @param stream - Where it runs and how far it is
   */
  constructor(
    private readonly exchange: Exchange,
    private readonly parts: ForwardingContext,
    private readonly stream: MovingStream,
  ) {}

  /** True when the run should be moved now if its engine leaves. */
  get isMovable(): boolean {
    return (
      this.handedOver !== this.stream.leg() &&
      this.parts.clock.now() >= this.keptUntil
    );
  }

  /**
   * Moves the run away from an engine that is leaving.
   *
   * @param source - The engine
   * @param isAlone - True when no other run is to be moved off it
   * @returns When its link is free for the copy of another run
   */
  async moveAway(source: EndpointEntry, isAlone: boolean): Promise<void> {
    const {exchange, parts, stream} = this;
    const {requestId} = exchange.metadata;
    const leg = stream.leg();
    const isThere = () =>
      stream.leg() === leg && leg?.endpoint.id === source.id;
    if (requestId === undefined || !this.isMovable || !isThere()) {
      return;
    }
    const stopping = createGate();
    const moved = moveRun(
      {
        requestId,
        source,
        targetGapMilliseconds: exchange.route.targetGapMilliseconds,
        idleLinkMilliseconds: this.estimateCopyMilliseconds(),
        prepareTarget: target => parts.client.preconnect(target),
        isThere,
        chooseTarget: excluded => this.chooseTarget(source, excluded, isAlone),
      },
      parts,
      stopping.resolve,
    );
    this.move = moved;
    const result = await Promise.race([
      moved,
      stopping.opened.then(() => parts.clock.sleep(HANDOVER_MILLISECONDS)),
    ]);
    if (result?.kind === 'source_lost') {
      await parts.clock.sleep(SOURCE_END_MILLISECONDS);
      if (isThere()) {
        this.abandon();
        this.keep(source, 'the call was cut, and the run goes on');
      }
    } else if (result?.kind !== 'kept') {
      this.handedOver = leg;
    } else if (isThere()) {
      this.move = undefined;
      this.keep(source, result.reason);
    }
  }

  /**
   * Waits for what the move came to that stopped the run.
   *
   * @returns What to go on with; undefined when no move stopped it
   */
  async takeStopped(): Promise<StoppedRun | undefined> {
    const result = await this.move;
    this.move = undefined;
    return result === undefined || result.kind === 'kept' ? undefined : result;
  }

  /** Frees what a move has copied of a run that nobody waits for. */
  abandon(): void {
    const {move, parts} = this;
    if (move === undefined) {
      return;
    }
    this.move = undefined;
    runTask('abandon_move', parts.logger, async () => {
      const result = await move;
      if (result.kind === 'stopped' || result.kind === 'source_lost') {
        const {target, memorySource} = result;
        dropCopy({target, handle: memorySource.handle}, parts);
      }
    });
  }

  private keep(source: EndpointEntry, reason: string): void {
    this.keptUntil = this.parts.clock.now() + KEPT_MILLISECONDS;
    this.parts.logger.info('move_failed', {
      request: this.exchange.metadata.requestId,
      source: source.id,
      reason,
    });
  }

  /** Time for a copy of the whole memory on an idle link. */
  private estimateCopyMilliseconds(): number {
    const {metadata: facts, service} = this.exchange;
    const {engine} = service;
    if (engine === undefined) {
      return 0;
    }
    const produced = this.stream.events() * engine.tokensPerEvent;
    return computeCopyMilliseconds(engine, facts.promptTokens + produced);
  }

  /** The engine that holds a checkpoint comes first: little is left to copy. */
  private chooseTarget(
    source: EndpointEntry,
    excluded: readonly string[],
    mayLeaveRegion: boolean,
  ): EndpointEntry | undefined {
    const {exchange, parts} = this;
    const candidates = parts.endpoints
      .findReady(exchange.service.name)
      .filter(entry => entry.id !== source.id && !excluded.includes(entry.id));
    const holder = this.stream.leg()?.checkpointHolder;
    return (
      candidates.find(entry => entry.id === holder?.id) ??
      chooseCopyTarget(exchange, parts, source, {candidates, mayLeaveRegion})
    );
  }
}

/** A promise that is resolved from outside. */
interface Gate {
  readonly opened: Promise<void>;
  readonly resolve: () => void;
}

function createGate(): Gate {
  let resolve: () => void = () => undefined;
  const opened = new Promise<void>(open => (resolve = open));
  return {opened, resolve};
}
