/**
 * The work of one run, as it is counted at engines.
 */
import type {EndpointEntry} from '@briarpin/coordination';

import {estimateMemoryTokens} from '../choose_placement/choose_placement.js';
import type {Exchange, ForwardingContext} from '../exchange/exchange.js';

/** Work that is counted until it is released. */
export interface CountedWork {
  /** Called at each event; the first one ends the reading of the prompt. */
  readonly noteEvent: () => void;
  readonly release: () => void;
}

/** What is counted. */
export interface EngineWork {
  readonly endpoint: EndpointEntry;
  /** Engine that keeps a checkpoint of the run. */
  readonly checkpointHolder?: EndpointEntry;
  /** True when the run goes on with memory that is there already. */
  readonly hasMemory: boolean;
}

/**
 * Counts the work of a run and lets the other gateways know.
 *
 * @param exchange - The request
 * @param parts - Parts of the gateway
 * @param work - Where it runs
 * @returns What ends the counting
 */
export function countEngineWork(
  exchange: Exchange,
  parts: ForwardingContext,
  {endpoint, checkpointHolder, hasMemory}: EngineWork,
): CountedWork {
  const {loads, clock} = parts;
  const tokens = estimateMemoryTokens(exchange);
  const promptTokens = hasMemory ? 0 : exchange.metadata.promptTokens;
  const readTokens = loads.promptTokensAt(endpoint.id) + promptTokens;
  const sentAt = clock.now();
  loads.add(endpoint.id, {requests: 1, tokens, promptTokens});
  if (checkpointHolder !== undefined) {
    loads.add(checkpointHolder.id, {tokens});
  }
  parts.onWorkStarted();
  let isRead = false;
  const endReading = () => {
    if (!isRead) {
      isRead = true;
      loads.remove(endpoint.id, {promptTokens});
    }
  };
  return {
    noteEvent: () => {
      if (!isRead && promptTokens > 0) {
        loads.noteFirstEvent(endpoint.id, readTokens, clock.now() - sentAt);
      }
      endReading();
    },
    release: () => {
      endReading();
      loads.remove(endpoint.id, {requests: 1, tokens});
      if (checkpointHolder !== undefined) {
        loads.remove(checkpointHolder.id, {tokens});
      }
    },
  };
}
