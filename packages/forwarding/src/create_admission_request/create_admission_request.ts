/**
 * Describes a request to the admission before the engines.
 */
import {
  computeAdmissionPriority,
  type AdmissionRequest,
} from '@briarpin/scheduling';

import {estimateOutputTokens} from '../choose_placement/choose_placement.js';
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';
import type {RunTimes} from '../run_times/run_times.js';

/** Work of a call to a plain service, in tokens; all calls count the same. */
const CALL_TOKENS = 1;

/** Weight of each organisation; the configuration states none. */
const ORGANISATION_WEIGHT = 1;

/**
 * Creates the description of a request for the admission.
 *
 * @param exchange - The request
 * @param context - Provides the prefill time and the filter of the engines
 * @param options - Identifier in the queue, and how long runs take
 */
export function createAdmissionRequest(
  exchange: Exchange,
  {loads, eligibility}: Pick<ForwardingContext, 'loads' | 'eligibility'>,
  {id, runTimes}: {readonly id: string; readonly runTimes: RunTimes},
): AdmissionRequest {
  const {route, organisation, arrivedAt, expiresAt} = exchange;
  const isCall = exchange.service.engine === undefined;
  const promptTokens = isCall ? 0 : exchange.metadata.promptTokens;
  const outputTokens = isCall ? CALL_TOKENS : estimateOutputTokens(exchange);
  const prefillMilliseconds = promptTokens * loads.prefillMillisecondsPerToken;
  return {
    id,
    lane: createLane(exchange, eligibility),
    organisation: organisation?.name ?? 'public',
    weight: ORGANISATION_WEIGHT,
    priority: computeAdmissionPriority({
      organisation: organisation?.priority,
      route: route.priority,
    }),
    promptTokens,
    outputTokens,
    targetGapMilliseconds: route.targetGapMilliseconds,
    prefillMilliseconds,
    runMilliseconds: Math.max(
      prefillMilliseconds,
      runTimes.estimate(route.name, isCall ? 0 : outputTokens),
    ),
    arrivedAt,
    targetLatencyMilliseconds: route.targetLatencyMilliseconds,
    expiresAt,
  };
}

/**
 * Returns a key that is equal for requests that the same engines may run now. It
 * changes with the configuration in force.
 */
export function createLane(
  exchange: Exchange,
  eligibility: ForwardingContext['eligibility'],
): string {
  return JSON.stringify([
    exchange.origin?.softwareVersion,
    [...exchange.triedEndpointIds].sort(),
    eligibility.listAllowedRegions(exchange),
  ]);
}
