/**
 * Accounts for the load that one run puts on engines.
 */
import type {EndpointEntry} from '@briarpin/coordination';

import {
  estimateMemoryTokens,
  estimateOutputTokens,
} from '../choose_placement/choose_placement.js';
import type {Exchange, ForwardingContext} from '../exchange/exchange.js';

/** Events of a run after which its output is counted for its organisation. */
const EVENTS_PER_COUNT = 32;

/** Handle of counted work, which counts until it is released. */
export interface CountedWork {
  /** Called for each event; the first event marks the end of the prefill. */
  readonly recordEvent: () => void;
  readonly release: () => void;
}

/** Engines that a run uses. */
export interface EngineWork {
  readonly endpoint: EndpointEntry;
  /** Engine that stores a checkpoint of the run. */
  readonly checkpointHolder?: EndpointEntry;
  /** True when the run resumes from existing memory and skips the prefill. */
  readonly hasMemory: boolean;
}

/**
 * Adds the work of a run to the endpoint loads and triggers a report to the
 * other gateways.
 *
 * @param exchange - The request
 * @param context - Shared context of the gateway
 * @param work - Engines that the run uses
 * @returns Handle that records events and releases the work
 */
export function countEngineWork(
  exchange: Exchange,
  context: ForwardingContext,
  {endpoint, checkpointHolder, hasMemory}: EngineWork,
): CountedWork {
  const {loads, clock} = context;
  const tokens = estimateMemoryTokens(exchange);
  const promptTokens = hasMemory ? 0 : exchange.metadata.promptTokens;
  const prefillTokens =
    loads.countPendingPromptTokens(endpoint.id) + promptTokens;
  const sentAt = clock.now();
  loads.add(endpoint.id, {requests: 1, tokens, promptTokens});
  if (checkpointHolder !== undefined) {
    loads.add(checkpointHolder.id, {tokens});
  }
  context.onWorkStarted();
  const received = createReceivedWork(exchange, context, promptTokens);
  let isPrefilled = false;
  const completePrefill = () => {
    if (!isPrefilled) {
      isPrefilled = true;
      loads.remove(endpoint.id, {promptTokens});
    }
  };
  return {
    recordEvent: () => {
      if (!isPrefilled && promptTokens > 0) {
        loads.recordFirstEvent(
          endpoint.id,
          prefillTokens,
          clock.now() - sentAt,
        );
      }
      completePrefill();
      received.recordEvent();
    },
    release: () => {
      completePrefill();
      received.flush();
      loads.remove(endpoint.id, {requests: 1, tokens});
      if (checkpointHolder !== undefined) {
        loads.remove(checkpointHolder.id, {tokens});
      }
      if (context.queuesForEngines()) {
        reportEnd(exchange, context, clock.now() - sentAt);
      }
    },
  };
}

/** Tells the queue that a run has ended, which may leave room for others. */
function reportEnd(
  exchange: Exchange,
  {engineQueue}: Pick<ForwardingContext, 'engineQueue'>,
  milliseconds: number,
): void {
  const tokens = estimateOutputTokens(exchange);
  engineQueue.recordRun(exchange.route.name, tokens, milliseconds);
  engineQueue.requestReview();
}

/**
 * Counts what the organisation receives by a run, if requests wait for engines.
 * Output is counted in steps, because each count updates the recent work.
 */
function createReceivedWork(
  {organisation, service}: Exchange,
  {organisationWork, queuesForEngines}: ForwardingContext,
  promptTokens: number,
): {readonly recordEvent: () => void; readonly flush: () => void} {
  if (!queuesForEngines()) {
    return {recordEvent: () => undefined, flush: () => undefined};
  }
  const name = organisation?.name ?? 'public';
  const tokensPerEvent = service.engine?.tokensPerEvent ?? 1;
  let events = 0;
  const flush = () => {
    organisationWork.add(name, events * tokensPerEvent);
    events = 0;
  };
  organisationWork.add(name, promptTokens);
  return {
    recordEvent: () => {
      events += 1;
      if (events >= EVENTS_PER_COUNT) {
        flush();
      }
    },
    flush,
  };
}
