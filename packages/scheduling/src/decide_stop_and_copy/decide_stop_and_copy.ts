/**
 * Live migration of a generation: when to change from pre-copy rounds to
 * stop-and-copy.
 */

/** Result of a pre-copy round, which copies while the generation runs. */
export interface CopyRound {
  /** Number of rounds so far, including this one. */
  readonly rounds: number;
  /** Duration of this round, in milliseconds. */
  readonly durationMilliseconds: number;
  /** Duration of a first round over an idle link, in milliseconds. */
  readonly idleLinkMilliseconds: number;
  /** Target for the longest pause between two events, in milliseconds. */
  readonly targetGapMilliseconds: number;
}

/**
 * Share of the target pause that the last copy may use; the rest is for the new
 * connection and the first step on the target engine.
 */
const STOP_AND_COPY_GAP_SHARE = 0.35;

/** Rounds after which the generation is stopped unconditionally. */
const MAXIMUM_ROUNDS = 5;

/**
 * Factor on the duration over an idle link up to which the link is considered
 * idle in the first round.
 */
const IDLE_LINK_FACTOR = 1.3;

/** Call overhead of a round, added to that limit. */
const CALL_OVERHEAD_MILLISECONDS = 60;

/**
 * Decides whether to stop the generation for the last copy.
 *
 * Each round copies only what the generation has produced during the previous
 * round. As this is little, the duration of the last copy depends mainly on the
 * queue of the link. The generation is stopped once a round shows that the
 * queue is empty, or after a maximum number of rounds, because the engine is
 * about to stop.
 *
 * @param round - The completed round
 * @returns True when the next copy should be made with the generation stopped
 *
 * @example
 * decideStopAndCopy({rounds: 1, durationMilliseconds: 20,
 *   idleLinkMilliseconds: 200, targetGapMilliseconds: 180}); //=> true
 */
export function decideStopAndCopy(round: CopyRound): boolean {
  const isLinkIdle =
    round.durationMilliseconds <=
    round.idleLinkMilliseconds * IDLE_LINK_FACTOR + CALL_OVERHEAD_MILLISECONDS;
  return (
    round.rounds >= MAXIMUM_ROUNDS ||
    (round.rounds === 1 && isLinkIdle) ||
    round.durationMilliseconds <=
      round.targetGapMilliseconds * STOP_AND_COPY_GAP_SHARE
  );
}
