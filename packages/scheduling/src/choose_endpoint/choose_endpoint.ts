/**
 * Endpoint choice by random sampling, for gateways that see only load reports
 * and their own open requests.
 */
import {
  REPORT_HALF_LIFE_MILLISECONDS,
  REPORT_TIMEOUT_MILLISECONDS,
} from '../constants.js';

/** State of an endpoint as seen by a gateway. */
export interface EndpointCandidate {
  readonly instance: string;
  /** Wait predicted by its last load report, in milliseconds. */
  readonly reportedWaitMilliseconds: number;
  /** Age of that report, in milliseconds; infinite without a report. */
  readonly reportAgeMilliseconds: number;
  /** Requests that this gateway has sent to it since that report. */
  readonly sentSinceReport: number;
  /** Open requests of this gateway at the endpoint. */
  readonly openRequests: number;
  /** Wait added by each further request, in milliseconds. */
  readonly waitPerRequestMilliseconds: number;
  /** Network round-trip time to the endpoint, in milliseconds. */
  readonly roundTripMilliseconds: number;
  readonly isOtherRegion: boolean;
  /** Prompt tokens that are probably in its cache. */
  readonly cachedPromptTokens: number;
  /** True when its streams have stopped making progress. */
  readonly isStalled: boolean;
}

/** Options of {@link chooseEndpoint}. */
export interface ChooseEndpointOptions {
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  /** False when the byte budget for cross-region traffic is exhausted. */
  readonly otherRegionsAllowed: boolean;
  /** Time saved per cached prompt token, in milliseconds. */
  readonly millisecondsPerPromptToken: number;
}

/**
 * Chooses an endpoint by the power of two choices.
 *
 * Samples two endpoints of the local region and chooses the one with the
 * smaller estimated cost. The endpoint with the longest cached prefix is
 * compared as well; the prompt time that it saves is subtracted from its cost,
 * so that a loaded endpoint is not chosen for its cache alone. Endpoints of
 * other regions are sampled in the same way, but chosen only when their
 * estimated cost, including the round trip, is smaller, and only within the
 * byte budget; without a local candidate they are used regardless of both.
 * Endpoints without a recent report are used only when no others remain, and
 * stalled ones only when all are stalled.
 *
 * @param candidates - Endpoints that may receive the request
 * @param options - Random source and limits
 * @returns The chosen endpoint; undefined when there is no candidate
 *
 * @example
 * chooseEndpoint(candidates, {random, otherRegionsAllowed: true, millisecondsPerPromptToken: 0.1});
 */
export function chooseEndpoint(
  candidates: readonly EndpointCandidate[],
  options: ChooseEndpointOptions,
): EndpointCandidate | undefined {
  const usable = preferHealthy(candidates);
  const local = usable.filter(candidate => !candidate.isOtherRegion);
  const remote = usable.filter(candidate => candidate.isOtherRegion);
  const best = chooseBest(local, options);
  if (best === undefined) {
    return chooseBest(remote, options);
  }
  if (!options.otherRegionsAllowed || remote.length === 0) {
    return best;
  }
  const bestRemote = chooseBest(remote, options);
  return bestRemote !== undefined &&
    estimateCostMilliseconds(bestRemote, options) <
      estimateCostMilliseconds(best, options)
    ? bestRemote
    : best;
}

function preferHealthy(
  candidates: readonly EndpointCandidate[],
): readonly EndpointCandidate[] {
  const healthy = candidates.filter(
    candidate =>
      !candidate.isStalled &&
      candidate.reportAgeMilliseconds < REPORT_TIMEOUT_MILLISECONDS,
  );
  if (healthy.length > 0) {
    return healthy;
  }
  const progressing = candidates.filter(candidate => !candidate.isStalled);
  return progressing.length > 0 ? progressing : candidates;
}

function chooseBest(
  candidates: readonly EndpointCandidate[],
  options: ChooseEndpointOptions,
): EndpointCandidate | undefined {
  const sampled = [
    pickRandom(candidates, options.random),
    pickRandom(candidates, options.random),
    findLongestPrefix(candidates),
  ];
  let best: EndpointCandidate | undefined;
  for (const candidate of sampled) {
    if (candidate === undefined) {
      continue;
    }
    if (
      best === undefined ||
      estimateCostMilliseconds(candidate, options) <
        estimateCostMilliseconds(best, options)
    ) {
      best = candidate;
    }
  }
  return best;
}

function pickRandom(
  candidates: readonly EndpointCandidate[],
  random: () => number,
): EndpointCandidate | undefined {
  return candidates[Math.floor(random() * candidates.length)];
}

function findLongestPrefix(
  candidates: readonly EndpointCandidate[],
): EndpointCandidate | undefined {
  let longest: EndpointCandidate | undefined;
  for (const candidate of candidates) {
    if (candidate.cachedPromptTokens > (longest?.cachedPromptTokens ?? 0)) {
      longest = candidate;
    }
  }
  return longest;
}

/**
 * Estimates the time until the first token, without the part that is the same
 * for all endpoints.
 */
function estimateCostMilliseconds(
  candidate: EndpointCandidate,
  options: ChooseEndpointOptions,
): number {
  const reportWeight =
    0.5 ** (candidate.reportAgeMilliseconds / REPORT_HALF_LIFE_MILLISECONDS);
  const reportedWait = candidate.reportedWaitMilliseconds * reportWeight;
  const ownWait =
    (candidate.sentSinceReport * reportWeight +
      candidate.openRequests * (1 - reportWeight)) *
    candidate.waitPerRequestMilliseconds;
  const savedTime =
    candidate.cachedPromptTokens * options.millisecondsPerPromptToken;
  return reportedWait + ownWait + candidate.roundTripMilliseconds - savedTime;
}
