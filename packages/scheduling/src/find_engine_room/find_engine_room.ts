/**
 * Decides which engines have room for a request.
 */
import type {EndpointState} from '../select_endpoint/select_endpoint.js';

/**
 * Shares of the memory that less urgent work leaves free: for urgent work, and
 * for runs that move off engines that stop. Both together keep the expected use
 * below the share at which preemptions become likely (0.85).
 */
const URGENT_RESERVE_SHARE = 0.08;
const MOVE_RESERVE_SHARE = 0.08;

/**
 * Share of the shortest target latency that the prompts waiting at an engine
 * may take when less urgent work is added. The rest is left for the prompt of an
 * urgent request.
 */
const PROMPT_SHARE = 0.6;

/**
 * The same share for urgent work. Above 1, because reports of other gateways
 * still contain prompts that were read up to 0.3 s ago.
 */
const URGENT_PROMPT_SHARE = 1.2;

/** What a request needs of an engine. */
export interface EngineDemand {
  /** Expected memory at its end, in tokens. */
  readonly tokens: number;
  /** Expected time to read its prompt. */
  readonly prefillMilliseconds: number;
  /** True if the request may use the reserves. */
  readonly usesReserves: boolean;
  /** Shortest target latency among the requests of the service. */
  readonly shortestTargetMilliseconds: number;
}

/** Finds the endpoints that have room for a request. */
export type FindRoom = <T extends EndpointState>(
  endpoints: readonly T[],
  demand: EngineDemand,
) => T[];

/**
 * Finds the engines that have room for a request: an idle engine has room for
 * any; another one has room if it accepts more requests, if the expected memory
 * stays within its share, and if the prompts that wait there stay below the
 * bound.
 *
 * @param engines - Engines that may run the request
 * @param demand - What the request needs
 * @returns The engines with room
 */
export function findEngineRoom<T extends EndpointState>(
  engines: readonly T[],
  demand: EngineDemand,
): T[] {
  const {tokens, prefillMilliseconds, usesReserves} = demand;
  const memoryShare = usesReserves
    ? 1
    : 1 - URGENT_RESERVE_SHARE - MOVE_RESERVE_SHARE;
  const promptMilliseconds =
    demand.shortestTargetMilliseconds *
    (usesReserves ? URGENT_PROMPT_SHARE : PROMPT_SHARE);
  return engines.filter(
    ({
      openRequests,
      concurrencyLimit,
      usedTokens,
      memoryTokens,
      waitMilliseconds,
    }) =>
      (openRequests === 0 && usedTokens === 0) ||
      (openRequests < concurrencyLimit &&
        usedTokens + tokens <= memoryShare * memoryTokens &&
        (waitMilliseconds === 0 ||
          waitMilliseconds + prefillMilliseconds <= promptMilliseconds)),
  );
}
