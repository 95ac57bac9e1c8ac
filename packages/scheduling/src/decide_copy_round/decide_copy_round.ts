/**
 * Live migration of a generation: when to stop it for the last copy.
 */

/** What is known after a round of copying while the generation runs. */
export interface CopyRound {
  /** Rounds so far, this one included. */
  readonly rounds: number;
  /** How long this round took, in milliseconds. */
  readonly durationMilliseconds: number;
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

/**
 * Decides whether the next copy is the last one.
 *
 * Each round copies what the generation has produced during the round before,
 * so its duration shows what the last copy would cost: mostly the queue on the
 * link. The generation is stopped once that fits into the expected pause, or
 * after some rounds, because the engine is about to end.
 *
 * @param round - The round that has ended
 * @returns True when the generation should be stopped for the last copy
 *
 * @example
 * decideLastCopy({rounds: 1, durationMilliseconds: 20,
 *   targetGapMilliseconds: 180}); //=> true
 */
export function decideLastCopy(round: CopyRound): boolean {
  return (
    round.rounds >= MAXIMUM_ROUNDS ||
    round.durationMilliseconds <=
      round.targetGapMilliseconds * LAST_COPY_GAP_SHARE
  );
}
