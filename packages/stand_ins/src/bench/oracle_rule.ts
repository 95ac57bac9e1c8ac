/**
 * Admission rule with knowledge of all output lengths.
 */
import type {AdmissionRule} from '@briarpin/scheduling';

import type {RunningLengths} from './simulate_engine.js';

interface RemainingGeneration {
  /** Number of steps until the generation completes. */
  readonly remainingSteps: number;
  /** Number of tokens currently in memory. */
  readonly heldTokens: number;
}

/**
 * Creates a rule that admits a candidate if the actual peak of the memory use
 * fits into the capacity.
 *
 * @param running - Running generations with their lengths
 * @param lengthOf - Returns the length of a candidate, in tokens
 * @returns The admission rule
 */
export function createOracleRule(
  running: RunningLengths,
  lengthOf: (id: string) => number,
): AdmissionRule {
  return (candidate, view) => {
    const generations: RemainingGeneration[] = [...running.values()].map(
      generation => ({
        remainingSteps: generation.length - generation.generated,
        heldTokens: generation.promptTokens + generation.generated,
      }),
    );
    generations.push({
      remainingSteps: lengthOf(candidate.id),
      heldTokens: candidate.promptTokens,
    });
    return computePeakTokens(generations) <= view.capacityTokens;
  };
}

/**
 * Computes the peak of the memory use, in tokens. The peak is always at the end
 * of a generation.
 */
function computePeakTokens(generations: RemainingGeneration[]): number {
  generations.sort((left, right) => right.remainingSteps - left.remainingSteps);
  let heldTokens = 0;
  let count = 0;
  let peak = 0;
  for (const generation of generations) {
    heldTokens += generation.heldTokens;
    count += 1;
    peak = Math.max(peak, heldTokens + count * generation.remainingSteps);
  }
  return peak;
}
