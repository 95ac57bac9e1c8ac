/**
 * Live migration of a generation: when to stop it for the last copy.
 */

/** What is known after a round of copying while the generation runs. */
export interface CopyRound {
  /** Rounds so far, this one included. */
  readonly rounds: number;
  /** How long this round took, in milliseconds. */
  readonly durationMilliseconds: number;
  /** How long the first round takes on an idle link, in milliseconds. */
  readonly idleLinkMilliseconds: number;
  /** Longest pause between events that the caller expects. */
  readonly targetGapMilliseconds: number;
}

/**
 * Part of the expected pause that the last copy may take; the rest is for the
 * new connection and the first step at the target.
 */
const LAST_COPY_GAP_SHARE = 0.35;

/** Rounds after which the generation is stopped in any case. */
const MAXIMUM_ROUNDS = 5;

/** How much longer a first round takes than on an idle link, calls included. */
const IDLE_LINK_FACTOR = 1.3;
const CALL_MILLISECONDS = 60;

/**
 * Decides whether the next copy is the last one.
 *
 * Each round copies what the generation has produced during the round before:
 * little, so what the last copy costs is the queue on the link. The generation
 * is stopped once a round shows that there is none, or after some rounds,
 * because the engine is about to end.
 *
 * @param round - The round that has ended
 * @returns True when the generation should be stopped for the last copy
 *
 * @example
 * decideLastCopy({rounds: 1, durationMilliseconds: 20,
 *   idleLinkMilliseconds: 200, targetGapMilliseconds: 180}); //=> true
 */
export function decideLastCopy(round: CopyRound): boolean {
  const isLinkIdle =
    round.durationMilliseconds <=
    round.idleLinkMilliseconds * IDLE_LINK_FACTOR + CALL_MILLISECONDS;
  return (
    round.rounds >= MAXIMUM_ROUNDS ||
    (round.rounds === 1 && isLinkIdle) ||
    round.durationMilliseconds <=
      round.targetGapMilliseconds * LAST_COPY_GAP_SHARE
  );
}
