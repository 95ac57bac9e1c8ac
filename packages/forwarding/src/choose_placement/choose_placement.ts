/**
 * Where a generation runs, and where its checkpoint is kept.
 */
import type {EndpointEntry, EngineProfile} from '@briarpin/coordination';
import {selectEndpoint, type EndpointState} from '@briarpin/scheduling';

import type {EndpointChoice} from '../endpoint_loads/endpoint_loads.js';
import type {Exchange, ForwardingContext} from '../exchange/exchange.js';

/**
 * Output from which a generation is checkpointed: shorter ones are over
 * before an engine that leaves is gone.
 */
const CHECKPOINT_MINIMUM_TOKENS = 1e9;

/** Output that is expected where the caller gives no estimate. */
const EXPECTED_SHARE_OF_MAXIMUM = 0.5;

/**
 * Estimates the tokens that a generation still produces.
 *
 * @param exchange - The request
 * @param producedTokens - What it has produced so far
 */
export function estimateOutputTokens(
  {metadata: facts}: Exchange,
  producedTokens = 0,
): number {
  const estimate =
    facts.estimatedOutputTokens ??
    facts.maximumOutputTokens * EXPECTED_SHARE_OF_MAXIMUM;
  const bounded =
    facts.maximumOutputTokens === 0
      ? estimate
      : Math.min(estimate, facts.maximumOutputTokens);
  return Math.max(bounded, producedTokens);
}

/** Memory that a generation is expected to take at its end, in tokens. */
export function estimateMemoryTokens(
  exchange: Exchange,
  producedTokens = 0,
): number {
  return (
    exchange.metadata.promptTokens +
    estimateOutputTokens(exchange, producedTokens)
  );
}

/** Part of an engine's memory that would be taken with a generation more. */
export function computeMemoryShare(
  exchange: Exchange,
  engine: EndpointState,
): number {
  const tokens = engine.usedTokens + estimateMemoryTokens(exchange);
  return tokens / engine.memoryTokens;
}

/**
 * Chooses an engine for a generation.
 *
 * @param exchange - The request
 * @param parts - Parts of the gateway
 * @param candidates - Engines that may be used
 * @returns The engine; undefined when there is none
 */
export function chooseEngine(
  exchange: Exchange,
  parts: ForwardingContext,
  candidates: readonly EndpointEntry[],
): EndpointChoice | undefined {
  return selectEndpoint(parts.loads.describe(candidates, exchange.service), {
    random: parts.random,
    neededTokens: estimateMemoryTokens(exchange),
  });
}

/**
 * Chooses the engine that keeps a checkpoint of a generation.
 *
 * @param exchange - The request
 * @param parts - Parts of the gateway
 * @param source - Engine that runs it
 * @returns The engine; undefined when a checkpoint does not pay
 */
export function chooseCheckpointHolder(
  exchange: Exchange,
  parts: ForwardingContext,
  source: EndpointEntry,
): EndpointEntry | undefined {
  const profile: EngineProfile | undefined = exchange.service.engine;
  if (
    profile?.supportsCheckpoints !== true ||
    exchange.route.isResumable ||
    estimateOutputTokens(exchange) < CHECKPOINT_MINIMUM_TOKENS
  ) {
    return undefined;
  }
  const candidates = parts.endpoints
    .findReady(exchange.service.name)
    .filter(entry => entry.id !== source.id);
  return chooseCopyTarget(exchange, parts, source, {
    candidates,
    mayLeaveRegion: false,
  });
}

/**
 * Chooses an engine that a generation's memory is copied to: in the zone of
 * its source if any has room there, then in its region. A copy to another
 * region takes about as long as an engine's notice and holds up the copies
 * behind it, so such an engine is taken only when it is asked for.
 *
 * @param exchange - The request
 * @param parts - Parts of the gateway
 * @param source - Engine that holds the memory
 * @param options - Which engines may be used
 * @returns The engine; undefined when there is none
 */
export function chooseCopyTarget(
  exchange: Exchange,
  parts: ForwardingContext,
  source: EndpointEntry,
  options: {
    readonly candidates: readonly EndpointEntry[];
    readonly mayLeaveRegion: boolean;
  },
): EndpointEntry | undefined {
  const neededTokens = estimateMemoryTokens(exchange);
  const states = parts.loads
    .describe(options.candidates, exchange.service)
    .map(state => ({...state, hopMilliseconds: 0}));
  const {availabilityZone} = source;
  const region = parts.regionOf(availabilityZone);
  const zone = states.filter(
    ({entry}) => entry.availabilityZone === availabilityZone,
  );
  const neighbours = states.filter(
    ({entry}) => parts.regionOf(entry.availabilityZone) === region,
  );
  const hasRoom = (state: EndpointState) =>
    state.open < state.slots &&
    state.usedTokens + neededTokens <= state.memoryTokens;
  const groups = [
    zone.filter(hasRoom),
    neighbours.filter(hasRoom),
    zone,
    neighbours,
    options.mayLeaveRegion ? states.filter(hasRoom) : [],
  ];
  const group = groups.find(found => found.length > 0) ?? [];
  return selectEndpoint(group, {random: parts.random, neededTokens})?.entry;
}
