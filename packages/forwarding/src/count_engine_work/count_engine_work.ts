/**
 * Accounts for the load that one run puts on engines.
 */
import type {EndpointEntry} from '@briarpin/coordination';

import {estimateMemoryTokens} from '../choose_placement/choose_placement.js';
import type {Exchange, ForwardingContext} from '../exchange/exchange.js';

/** Handle of counted work, which counts until it is released. */
export interface CountedWork {
  /** Called for each event; the first event marks the end of the prefill. */
  readonly recordEvent: () => void;
  /**
   * Called when reading pauses: the time to the next event then shows nothing of
   * the engine's pace.
   */
  readonly recordPause: () => void;
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
  const openRequests = loads.countOpenRequests(endpoint.id);
  context.onWorkStarted();
  let isPrefilled = false;
  let eventAt: number | undefined;
  const completePrefill = () => {
    if (!isPrefilled) {
      isPrefilled = true;
      loads.remove(endpoint.id, {promptTokens});
    }
  };
  return {
    recordEvent: () => {
      const now = clock.now();
      if (!isPrefilled && promptTokens > 0) {
        const milliseconds = now - sentAt;
        const isInTime =
          milliseconds <= exchange.route.targetLatencyMilliseconds;
        loads.recordFirstEvent(endpoint.id, prefillTokens, milliseconds);
        loads.recordServed(endpoint, {openRequests, isInTime});
      }
      completePrefill();
      if (eventAt !== undefined) {
        loads.recordEvent(endpoint.id, now - eventAt);
      }
      eventAt = now;
    },
    recordPause: () => {
      eventAt = undefined;
    },
    release: () => {
      completePrefill();
      loads.remove(endpoint.id, {requests: 1, tokens});
      if (checkpointHolder !== undefined) {
        loads.remove(checkpointHolder.id, {tokens});
      }
    },
  };
}
