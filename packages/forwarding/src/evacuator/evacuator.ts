/**
 * Moving the streams of a gateway off endpoints that leave.
 */
import type {EndpointEntry} from '@briarpin/coordination';

import type {EvacuationTurn} from '../evacuation_turn/evacuation_turn.js';
import type {ForwardingContext} from '../exchange/exchange.js';

/** How often a gateway looks whether it may copy. */
const TURN_POLL_MILLISECONDS = 8;

/** Time after which a run that was not moved is left where it is. */
const EVACUATION_MILLISECONDS = 6_000;

/** A stream as the evacuation of its endpoint sees it. */
export interface EvacuatedStream {
  /** Endpoint that produces the stream now. */
  readonly endpointId: string | undefined;
  /** True when the stream would be lost with its endpoint. */
  readonly endsWithEngine: boolean;
  /** True once there is a memory that can be copied. */
  readonly hasBegun: boolean;
  /** True when the run should be moved now if its endpoint leaves. */
  readonly isMovable: boolean;
  /** Tokens that it is expected to produce from now on. */
  readonly expectedRemainingTokens: number;
  /** Moves it; ends when the endpoint's link is free for another copy. */
  readonly moveAway: (source: EndpointEntry, isAlone: boolean) => Promise<void>;
}

/** Moves streams, one after another. */
export class Evacuator {
  /**
   * @param sessions - The gateway's streams
   * @param parts - Parts of the gateway
   */
  constructor(
    private readonly sessions: ReadonlySet<EvacuatedStream>,
    private readonly parts: Pick<
      ForwardingContext,
      'clock' | 'dialect' | 'logger'
    >,
  ) {}

  /**
   * Moves streams away from an endpoint that is leaving, one after another:
   * the copies share its link. Those with the most left to produce go first;
   * the others may end by themselves. Streams that were on their way when the
   * notice came are waited for.
   *
   * @param entry - The endpoint
   * @param turn - When this gateway may copy
   * @param onMoved - Told after each run
   */
  async evacuate(
    entry: EndpointEntry,
    turn: Pick<EvacuationTurn, 'hasCome' | 'isAlone'>,
    onMoved: () => void,
  ): Promise<void> {
    const {clock, dialect, logger} = this.parts;
    const startedAt = clock.now();
    let moved = 0;
    while (clock.now() - startedAt < EVACUATION_MILLISECONDS) {
      const runs = this.findRuns(entry.id);
      if (runs.length === 0) {
        break;
      }
      const next = runs.find(run => run.hasBegun && run.isMovable);
      if (next === undefined || !turn.hasCome()) {
        dialect.prepareMove(entry);
        await clock.sleep(TURN_POLL_MILLISECONDS);
        continue;
      }
      await next.moveAway(entry, runs.length === 1 && turn.isAlone());
      moved += 1;
      onMoved();
    }
    if (moved > 0) {
      const milliseconds = Math.round(clock.now() - startedAt);
      logger.info('evacuation', {endpoint: entry.id, moved, milliseconds});
    }
  }

  /** Runs at an engine that should not end with it, largest rest first. */
  private findRuns(endpointId: string): EvacuatedStream[] {
    return [...this.sessions]
      .filter(
        session => session.endpointId === endpointId && session.endsWithEngine,
      )
      .sort(
        (left, right) =>
          right.expectedRemainingTokens - left.expectedRemainingTokens,
      );
  }

  /** Counts the runs at each endpoint that would be moved now. */
  countMovableRuns(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const {endpointId, isMovable, hasBegun} of this.sessions) {
      if (isMovable && hasBegun && endpointId !== undefined) {
        counts.set(endpointId, (counts.get(endpointId) ?? 0) + 1);
      }
    }
    return counts;
  }
}
