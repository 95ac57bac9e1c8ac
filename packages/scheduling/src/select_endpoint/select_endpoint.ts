/**
 * Which endpoint takes a request, where every gateway sees all open work.
 */

/** An endpoint as a gateway sees it. */
export interface EndpointState {
  readonly id: string;
  /** Requests that are open there, those of other gateways included. */
  readonly open: number;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Memory taken by open generations and copies, in tokens. */
  readonly usedTokens: number;
  /** Memory of an engine, in tokens; infinite for plain services. */
  readonly memoryTokens: number;
  /**
   * Part of the memory of its neighbours that would be taken if it left and
   * its work moved to them; 0 for plain services.
   */
  readonly evacuationShare: number;
  /** Time to copy one token to a neighbour, in milliseconds; 0 for none. */
  readonly copyMillisecondsPerToken: number;
  /** Time to reach it and back, in milliseconds. */
  readonly hopMilliseconds: number;
  /** Part of its recent answers that were failures, 0 to 1. */
  readonly failureShare: number;
  /** Predicted time to an answer or a first event, in milliseconds. */
  readonly waitMilliseconds: number;
}

/** Options of {@link selectEndpoint}. */
export interface SelectEndpointOptions {
  /** Source of numbers in [0, 1). */
  readonly random: () => number;
  /** Memory that the request is expected to take, in tokens. */
  readonly neededTokens: number;
}

/** Part of an engine's memory above which generations are preempted soon. */
const CROWDED_MEMORY_SHARE = 0.85;

/** Cost of filling an empty engine's memory, in milliseconds of latency. */
const MEMORY_COST_MILLISECONDS = 120;

/** Cost of one memory beyond the crowded share; a preemption stalls seconds. */
const PREEMPTION_COST_MILLISECONDS = 5_000;

/**
 * Part of the neighbours' memory above which some runs would find no room if
 * the engine left: estimates of the lengths are off by about as much as the
 * rest.
 */
const CROWDED_EVACUATION_SHARE = 0.8;

/** Cost of one memory beyond that share: a run that is cut is lost whole. */
const EVACUATION_COST_MILLISECONDS = 500;

/**
 * Time in which all runs of an engine should be copied: the shortest notice
 * with which engines leave, less the time to hear of it and to hand over.
 */
const EVACUATION_MILLISECONDS = 1_000;

/** Cost of a millisecond more: part of a run that is lost in each such leave. */
const LATE_EVACUATION_COST = 0.4;

/** Share at which the neighbours have no room at all. */
const MAXIMUM_EVACUATION_SHARE = 2;

/** Cost of filling all slots: steps of a full batch take about this longer. */
const BATCH_COST_MILLISECONDS = 40;

/** Cost of a certain failure: about the time that a retry takes. */
const FAILURE_COST_MILLISECONDS = 400;

/** Costs closer than this are drawn by lot, so that gateways do not herd. */
const TIE_MILLISECONDS = 8;

/**
 * Selects the endpoint with the smallest expected cost.
 *
 * The cost is a time: the hop, the predicted wait, the slowing by a larger
 * batch, and the risk of a preemption, of a cut or of a failed attempt.
 *
 * @param candidates - Endpoints that may be used
 * @param options - Source of randomness and size of the request
 * @returns The endpoint; undefined when there is no candidate
 *
 * @example
 * selectEndpoint(candidates, {random: Math.random, neededTokens: 4_000});
 */
export function selectEndpoint<T extends EndpointState>(
  candidates: readonly T[],
  options: SelectEndpointOptions,
): T | undefined {
  let best: T | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const cost =
      estimateCost(candidate, options.neededTokens) +
      options.random() * TIE_MILLISECONDS;
    if (cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  }
  return best;
}

function estimateCost(candidate: EndpointState, neededTokens: number): number {
  const batch = Math.min(1, candidate.open / candidate.slots);
  const memory = (candidate.usedTokens + neededTokens) / candidate.memoryTokens;
  return (
    candidate.hopMilliseconds +
    candidate.waitMilliseconds +
    batch * BATCH_COST_MILLISECONDS +
    memory * MEMORY_COST_MILLISECONDS +
    Math.max(0, memory - CROWDED_MEMORY_SHARE) * PREEMPTION_COST_MILLISECONDS +
    excessEvacuation(candidate) * EVACUATION_COST_MILLISECONDS +
    lateEvacuation(candidate, neededTokens) * LATE_EVACUATION_COST +
    candidate.failureShare * FAILURE_COST_MILLISECONDS
  );
}

function excessEvacuation({evacuationShare}: EndpointState): number {
  const bounded = Math.min(MAXIMUM_EVACUATION_SHARE, evacuationShare);
  return Math.max(0, bounded - CROWDED_EVACUATION_SHARE);
}

function lateEvacuation(
  candidate: EndpointState,
  neededTokens: number,
): number {
  const tokens = candidate.usedTokens + neededTokens;
  const milliseconds = tokens * candidate.copyMillisecondsPerToken;
  return Math.max(0, milliseconds - EVACUATION_MILLISECONDS);
}
