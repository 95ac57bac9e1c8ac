/**
 * Selects the engine that runs a generation and the engine that stores its
 * checkpoint.
 */
import type {EndpointEntry, EngineProfile} from '@briarpin/coordination';
import {
  selectEndpoint,
  type EndpointState,
  type ExpectedOutput,
} from '@briarpin/scheduling';

import type {EndpointCandidate} from '../endpoint_loads/endpoint_loads.js';
import type {
  EligibleEndpoint,
  EligibleEndpoints,
} from '../endpoint_eligibility/endpoint_eligibility.js';
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/**
 * Minimum estimated output of a checkpointed generation, in tokens: shorter
 * generations finish before an engine that announces its shutdown exits. At
 * 1e9, no generation is checkpointed in practice.
 */
const CHECKPOINT_MINIMUM_TOKENS = 1e9;

/**
 * Expected output as a share of the maximum output, for requests without an
 * estimate.
 */
const EXPECTED_SHARE_OF_MAXIMUM = 0.5;

/**
 * Estimates the total output of a generation.
 *
 * @param exchange - The request
 * @param producedTokens - Tokens produced so far; lower bound of the estimate
 * @returns Tokens
 */
export function estimateOutputTokens(
  {metadata}: Exchange,
  producedTokens = 0,
): number {
  const estimate =
    metadata.estimatedOutputTokens ??
    metadata.maximumOutputTokens * EXPECTED_SHARE_OF_MAXIMUM;
  const bounded =
    metadata.maximumOutputTokens === 0
      ? estimate
      : Math.min(estimate, metadata.maximumOutputTokens);
  return Math.max(bounded, producedTokens);
}

/** Estimates the memory that a generation occupies at its end, in tokens. */
export function estimateMemoryTokens(
  exchange: Exchange,
  producedTokens = 0,
): number {
  return (
    exchange.metadata.promptTokens +
    estimateOutputTokens(exchange, producedTokens)
  );
}

/** Estimates the output of a generation, for the choice of its engine. */
function estimateOutput(exchange: Exchange): ExpectedOutput {
  const {targetGapMilliseconds} = exchange.route;
  return {tokens: estimateOutputTokens(exchange), targetGapMilliseconds};
}

/**
 * Computes the share of an engine's memory in use once it also runs this
 * generation; above 1 when the generation does not fit.
 */
export function computeMemoryShare(
  exchange: Exchange,
  engine: EndpointState,
): number {
  const tokens = engine.usedTokens + estimateMemoryTokens(exchange);
  return tokens / engine.memoryTokens;
}

/**
 * Selects an engine to run a generation.
 *
 * @param exchange - The request
 * @param context - Shared context of the gateway
 * @param candidates - Eligible engines
 * @returns The engine; undefined when there is none
 */
export function chooseEngine(
  exchange: Exchange,
  context: ForwardingContext,
  candidates: EligibleEndpoints,
): EndpointCandidate | undefined {
  return selectEndpoint(
    context.loads.computeCandidates(candidates, exchange.service),
    {
      random: context.random,
      neededTokens: estimateMemoryTokens(exchange),
      output: estimateOutput(exchange),
    },
  );
}

/**
 * Selects the engine that stores checkpoints of a generation.
 *
 * @param exchange - The request
 * @param context - Shared context of the gateway
 * @param source - Engine that runs it
 * @returns The engine; undefined when the service has no checkpoints, the
 *   route is resumable, the output is too short or no engine is available
 */
export function chooseCheckpointHolder(
  exchange: Exchange,
  context: ForwardingContext,
  source: EndpointEntry,
): EligibleEndpoint | undefined {
  const profile: EngineProfile | undefined = exchange.service.engine;
  if (
    profile?.supportsCheckpoints !== true ||
    exchange.route.isResumable ||
    estimateOutputTokens(exchange) < CHECKPOINT_MINIMUM_TOKENS
  ) {
    return undefined;
  }
  const candidates = context.eligibility
    .find(exchange)
    .filter(
      entry => entry.id !== source.id && !context.coldEndpoints.isCold(entry),
    );
  return chooseCopyTarget(exchange, context, source, {
    candidates,
    allowsOtherRegions: false,
  });
}

/**
 * Selects the engine to which a generation's memory is copied, among those with
 * the software version of its source: one with free capacity in the availability
 * zone of the source, else one with free capacity in its region, else one without
 * free capacity in the zone or the region.
 * A copy to another region takes about as long as the shutdown notice of an
 * engine and delays the copies queued behind it, so another region is used
 * only when its own region has no candidate and the options allow it.
 *
 * @param exchange - The request
 * @param context - Shared context of the gateway
 * @param source - Engine that holds the memory
 * @param options - Eligible engines, and whether other regions are allowed
 * @returns The engine; undefined when there is none
 */
export function chooseCopyTarget(
  exchange: Exchange,
  context: ForwardingContext,
  source: EndpointEntry,
  options: {
    readonly candidates: EligibleEndpoints;
    readonly allowsOtherRegions: boolean;
  },
): EligibleEndpoint | undefined {
  const neededTokens = estimateMemoryTokens(exchange);
  const compatible = options.candidates.filter(
    ({softwareVersion}) => softwareVersion === source.softwareVersion,
  );
  const states = context.loads
    .computeCandidates(compatible, exchange.service)
    .map(state => ({...state, roundTripMilliseconds: 0}));
  const {availabilityZone} = source;
  const region = context.regionOf(availabilityZone);
  const zoneStates = states.filter(
    ({entry}) => entry.availabilityZone === availabilityZone,
  );
  const regionStates = states.filter(
    ({entry}) => context.regionOf(entry.availabilityZone) === region,
  );
  const hasCapacity = (state: EndpointState) =>
    state.openRequests < state.slots &&
    state.usedTokens + neededTokens <= state.memoryTokens;
  const groups = [
    zoneStates.filter(hasCapacity),
    regionStates.filter(hasCapacity),
    zoneStates,
    regionStates,
    options.allowsOtherRegions ? states.filter(hasCapacity) : [],
  ];
  const group = groups.find(members => members.length > 0) ?? [];
  const {random} = context;
  const output = estimateOutput(exchange);
  const selected = selectEndpoint(group, {random, neededTokens, output});
  return compatible.find(({id}) => id === selected?.id);
}
