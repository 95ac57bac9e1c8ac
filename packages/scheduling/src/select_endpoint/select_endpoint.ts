/**
 * Cost-based endpoint selection, for gateways that see the open requests of all
 * gateways.
 */

/** State of an endpoint as seen by a gateway. */
export interface EndpointState {
  readonly id: string;
  /** Open requests at the endpoint, including those of other gateways. */
  readonly openRequests: number;
  /** Requests that the endpoint runs concurrently. */
  readonly slots: number;
  /** Open requests up to which the endpoint takes another one now. */
  readonly concurrencyLimit: number;
  /** Requests that may be sent in one review; absent if not limited. */
  readonly remainingStarts?: number;
  /** Memory used by open generations and copies, in tokens. */
  readonly usedTokens: number;
  /** Memory capacity of an engine, in tokens; infinite for plain services. */
  readonly memoryTokens: number;
  /**
   * Share of the memory of the other engines in its zone that would be used
   * after this engine stopped and its runs moved to them; 0 for plain services.
   */
  readonly evacuationShare: number;
  /**
   * Time to copy the memory of one token to another engine, in milliseconds; 0
   * where runs cannot be moved.
   */
  readonly copyMillisecondsPerToken: number;
  /** Network round-trip time to the endpoint, in milliseconds. */
  readonly roundTripMilliseconds: number;
  /** Share of its recent answers that were failures, 0 to 1. */
  readonly failureShare: number;
  /** Predicted time to an answer or to the first event, in milliseconds. */
  readonly waitMilliseconds: number;
  /** Predicted decoding; absent for endpoints that do not state their pace. */
  readonly decoding?: {
    /** Time between two events of a stream, in milliseconds. */
    readonly eventMilliseconds: number;
    readonly tokensPerEvent: number;
  };
}

/** Output that a request is expected to produce. */
export interface ExpectedOutput {
  readonly tokens: number;
  /** Target of the time between two events, in milliseconds. */
  readonly targetGapMilliseconds: number;
}

/** Options of {@link selectEndpoint}. */
export interface SelectEndpointOptions {
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  /** Expected memory use of the request, in tokens. */
  readonly neededTokens: number;
  /** Output of a generation; absent for calls. */
  readonly output?: ExpectedOutput;
}

/** Share of an engine's memory above which preemptions become likely. */
const MEMORY_PRESSURE_SHARE = 0.85;

/** Cost of filling the whole memory of an engine, as added latency. */
const MEMORY_COST_MILLISECONDS = 120;

/**
 * Cost per full memory above the pressure share: a preemption stalls a
 * generation for seconds.
 */
const PREEMPTION_COST_MILLISECONDS = 5_000;

/**
 * Evacuation share above which some runs may not fit into the other engines if
 * the engine stops: the error of the length estimates is about as large as the
 * remaining share.
 */
const EVACUATION_PRESSURE_SHARE = 0.8;

/**
 * Cost per full memory above the evacuation pressure share: an interrupted run
 * loses all of its progress.
 */
const EVACUATION_COST_MILLISECONDS = 500;

/**
 * Time in which all runs of an engine should be copied: the shortest notice
 * before an engine stops, less the time to receive it and to hand over.
 */
const EVACUATION_TIME_LIMIT_MILLISECONDS = 1_000;

/**
 * Cost per millisecond above the evacuation time limit: each one loses a part
 * of a run when the engine stops.
 */
const LATE_EVACUATION_COST = 0.4;

/** Evacuation share at which the other engines have no room at all. */
const MAXIMUM_EVACUATION_SHARE = 2;

/** Cost of filling all slots: the extra time of a step with a full batch. */
const BATCH_COST_MILLISECONDS = 40;

/** Cost of a certain failure: about the duration of a retry. */
const FAILURE_COST_MILLISECONDS = 400;

/**
 * Cost per millisecond of expected decode time: a longer run occupies memory for
 * longer and is interrupted more often. An output of 750 tokens costs 350 ms
 * more on an engine that needs 12 s for it than on one that needs 5 s, less than
 * a second prompt before it or a memory that is nearly full.
 */
const DECODE_TIME_COST = 0.05;

/**
 * Cost of a request beyond the limit of an endpoint that starts, returns or
 * fails: more than the wait at an overloaded endpoint with room. At 1,000, a
 * returning engine was flooded under overload: 0.46 of its first requests were on
 * time, 0.89 at 3,000.
 */
const LIMIT_COST_MILLISECONDS = 3_000;

/**
 * Share of the memory of all candidates in use from which on the decode time
 * counts less, and at which it does not count: once slow engines are needed as
 * well, sending long outputs to fast ones only overfills these.
 */
const DECODE_COST_FULL_SHARE = 0.5;
const DECODE_COST_END_SHARE = 0.85;

/** Factor by which a short slow phase lengthens the time between two events. */
const SLOW_PHASE_FACTOR = 2.5;

/** Share of the time that an endpoint spends in slow phases. */
const SLOW_PHASE_SHARE = 0.15;

/** Share of the target gap above which some events are expected to be late. */
const GAP_PRESSURE_SHARE = 0.8;

/**
 * Cost per target gap above the pressure share, if a slow phase is certain: a
 * stream with a late event counts as late as a whole. While fast engines have
 * room, that is worth a longer wait for one of them.
 */
const LATE_EVENT_COST_MILLISECONDS = 800;

/** The same cost once slow engines are needed as well. */
const LATE_EVENT_MINIMUM_COST_MILLISECONDS = 400;

/** Largest excess over the target gap that adds to the cost. */
const MAXIMUM_GAP_EXCESS = 2;

/**
 * Upper bound of the random cost that breaks ties between candidates, so that
 * gateways do not all select the same endpoint.
 */
const TIE_BREAK_JITTER_MILLISECONDS = 8;

/**
 * Selects the endpoint with the smallest expected cost.
 *
 * The cost is a time in milliseconds: the round trip, the predicted wait, the
 * slowdown by a larger batch, and the risk of a preemption, of an interrupted
 * run or of a failed attempt. Engines that state their pace also cost a part of
 * the expected decode time, and the risk of late events.
 *
 * @param candidates - Endpoints that may receive the request
 * @param options - Random source and size of the request
 * @returns The selected endpoint; undefined when there is no candidate
 *
 * @example
 * selectEndpoint(candidates, {random: Math.random, neededTokens: 4_000});
 */
export function selectEndpoint<T extends EndpointState>(
  candidates: readonly T[],
  options: SelectEndpointOptions,
): T | undefined {
  const freeShare = computeFreeShare(candidates);
  let best: T | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const cost =
      estimateCost(candidate, options.neededTokens) +
      estimateDecodeCost(candidate, options.output, freeShare) +
      estimateLimitCost(candidate) +
      options.random() * TIE_BREAK_JITTER_MILLISECONDS;
    if (cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  }
  return best;
}

function estimateCost(candidate: EndpointState, neededTokens: number): number {
  const usedSlotShare = Math.min(1, candidate.openRequests / candidate.slots);
  const memoryShare =
    (candidate.usedTokens + neededTokens) / candidate.memoryTokens;
  return (
    candidate.roundTripMilliseconds +
    candidate.waitMilliseconds +
    usedSlotShare * BATCH_COST_MILLISECONDS +
    memoryShare * MEMORY_COST_MILLISECONDS +
    Math.max(0, memoryShare - MEMORY_PRESSURE_SHARE) *
      PREEMPTION_COST_MILLISECONDS +
    computeExcessEvacuationShare(candidate) * EVACUATION_COST_MILLISECONDS +
    computeEvacuationOverrunMilliseconds(candidate, neededTokens) *
      LATE_EVACUATION_COST +
    candidate.failureShare * FAILURE_COST_MILLISECONDS
  );
}

/**
 * Computes how free the engines are: 1 while fast ones have room for all long
 * outputs, 0 once slow ones are needed as well.
 */
function computeFreeShare(candidates: readonly EndpointState[]): number {
  let usedTokens = 0;
  let memoryTokens = 0;
  for (const candidate of candidates) {
    usedTokens += candidate.usedTokens;
    memoryTokens += candidate.memoryTokens;
  }
  const free = DECODE_COST_END_SHARE - usedTokens / memoryTokens;
  const range = DECODE_COST_END_SHARE - DECODE_COST_FULL_SHARE;
  return Math.min(1, Math.max(0, free / range));
}

function estimateDecodeCost(
  {decoding}: EndpointState,
  output: ExpectedOutput | undefined,
  freeShare: number,
): number {
  if (decoding === undefined || output === undefined) {
    return 0;
  }
  const gaps = Math.max(0, output.tokens / decoding.tokensPerEvent - 1);
  const decodeMilliseconds = gaps * decoding.eventMilliseconds;
  const slowGapMilliseconds = decoding.eventMilliseconds * SLOW_PHASE_FACTOR;
  const excess =
    slowGapMilliseconds / output.targetGapMilliseconds - GAP_PRESSURE_SHARE;
  const slowPhaseProbability = 1 - (1 - SLOW_PHASE_SHARE) ** gaps;
  const lateEventCost =
    LATE_EVENT_MINIMUM_COST_MILLISECONDS +
    (LATE_EVENT_COST_MILLISECONDS - LATE_EVENT_MINIMUM_COST_MILLISECONDS) *
      freeShare;
  return (
    decodeMilliseconds * DECODE_TIME_COST * freeShare +
    Math.min(MAXIMUM_GAP_EXCESS, Math.max(0, excess)) *
      slowPhaseProbability *
      lateEventCost
  );
}

/**
 * Estimates the cost of exceeding a limit below the slots, which grows with the
 * excess, so that requests spread when all endpoints are at their limits.
 */
function estimateLimitCost({
  openRequests,
  slots,
  concurrencyLimit,
}: EndpointState): number {
  if (concurrencyLimit >= slots || openRequests < concurrencyLimit) {
    return 0;
  }
  const excess = (openRequests + 1 - concurrencyLimit) / concurrencyLimit;
  return (1 + excess) * LIMIT_COST_MILLISECONDS;
}

function computeExcessEvacuationShare({
  evacuationShare,
}: EndpointState): number {
  const boundedShare = Math.min(MAXIMUM_EVACUATION_SHARE, evacuationShare);
  return Math.max(0, boundedShare - EVACUATION_PRESSURE_SHARE);
}

function computeEvacuationOverrunMilliseconds(
  candidate: EndpointState,
  neededTokens: number,
): number {
  const tokens = candidate.usedTokens + neededTokens;
  const copyMilliseconds = tokens * candidate.copyMillisecondsPerToken;
  return Math.max(0, copyMilliseconds - EVACUATION_TIME_LIMIT_MILLISECONDS);
}
