/**
 * Evacuates the streams of a gateway from endpoints that shut down.
 */
import type {EndpointEntry} from '@briarpin/coordination';

import type {EvacuationTurn} from '../evacuation_turn/evacuation_turn.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/** Interval at which a gateway polls whether it may copy. */
const TURN_POLL_INTERVAL_MILLISECONDS = 8;

/** Timeout of an evacuation; runs not moved by then stay at the endpoint. */
const EVACUATION_TIMEOUT_MILLISECONDS = 6_000;

/** A stream as a candidate for evacuation from its endpoint. */
export interface EvacuatedStream {
  /** Endpoint that currently produces the stream. */
  readonly endpointId: string | undefined;
  /** True when the stream would fail if its endpoint exited. */
  readonly dependsOnEngine: boolean;
  /** True once the run has memory that can be copied. */
  readonly hasCopyableMemory: boolean;
  /** True when the run may be moved now if its endpoint shuts down. */
  readonly isMovable: boolean;
  /** Estimated number of tokens still to be produced. */
  readonly expectedRemainingTokens: number;
  /**
   * Moves the run; resolves when the endpoint's link is free for another copy.
   */
  readonly moveAway: (
    source: EndpointEntry,
    isOnlyRun: boolean,
  ) => Promise<void>;
}

/** Moves streams sequentially from endpoints that shut down. */
export class Evacuator {
  /**
   * @param sessions - Open streams of the gateway
   * @param context - Shared context of the gateway
   */
  constructor(
    private readonly sessions: ReadonlySet<EvacuatedStream>,
    private readonly context: Pick<
      ForwardingContext,
      'clock' | 'dialect' | 'logger'
    >,
  ) {}

  /**
   * Moves streams from an endpoint that is shutting down, one at a time because
   * the copies share its link. Streams with the most remaining output go first;
   * the others may finish without a move. Waits for streams that were still
   * starting when the shutdown notice arrived.
   *
   * @param entry - The endpoint
   * @param turn - Decides when this gateway may copy
   * @param onMoved - Called after each move attempt
   */
  async evacuate(
    entry: EndpointEntry,
    turn: Pick<EvacuationTurn, 'mayCopy' | 'isOnlyGateway'>,
    onMoved: () => void,
  ): Promise<void> {
    const {clock, dialect, logger} = this.context;
    const startedAt = clock.now();
    let moved = 0;
    while (clock.now() - startedAt < EVACUATION_TIMEOUT_MILLISECONDS) {
      const runs = this.findRunsToMove(entry.id);
      if (runs.length === 0) {
        break;
      }
      const next = runs.find(run => run.hasCopyableMemory && run.isMovable);
      if (next === undefined || !turn.mayCopy()) {
        dialect.prepareMove(entry);
        await clock.sleep(TURN_POLL_INTERVAL_MILLISECONDS);
        continue;
      }
      await next.moveAway(entry, runs.length === 1 && turn.isOnlyGateway());
      moved += 1;
      onMoved();
    }
    if (moved > 0) {
      const milliseconds = Math.round(clock.now() - startedAt);
      logger.info('evacuation', {endpoint: entry.id, moved, milliseconds});
    }
  }

  /**
   * Finds the runs that would fail with an engine, ordered by remaining output,
   * largest first.
   */
  private findRunsToMove(endpointId: string): EvacuatedStream[] {
    return [...this.sessions]
      .filter(
        session => session.endpointId === endpointId && session.dependsOnEngine,
      )
      .sort(
        (left, right) =>
          right.expectedRemainingTokens - left.expectedRemainingTokens,
      );
  }

  /** Counts the runs that may be moved now, by endpoint ID. */
  countMovableRuns(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const {endpointId, isMovable, hasCopyableMemory} of this.sessions) {
      if (isMovable && hasCopyableMemory && endpointId !== undefined) {
        counts.set(endpointId, (counts.get(endpointId) ?? 0) + 1);
      }
    }
    return counts;
  }
}
