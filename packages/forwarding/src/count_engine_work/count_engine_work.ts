/**
 * Accounts for the load that one run puts on engines.
 */
import type {EndpointEntry} from '@briarpin/coordination';

import {computeMeanMemory} from '@briarpin/scheduling';

import {
  estimateMemoryTokens,
  estimateOutputTokens,
} from '../choose_placement/choose_placement.js';
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/** Events of a run after which its output is counted for its organisation. */
const EVENTS_PER_COUNT = 32;

/** Handle of counted work, which counts until it is released. */
export interface CountedWork {
  /**
   * Called with the number of events that have arrived together; the first event
   * marks the end of the prefill.
   */
  readonly recordEvents: (count: number) => void;
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
  const tokens = context.queuesForEngines()
    ? computeMeanMemory({
        promptTokens: exchange.metadata.promptTokens,
        outputTokens: estimateOutputTokens(exchange),
      })
    : estimateMemoryTokens(exchange);
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
  const received = createReceivedWork(exchange, context, promptTokens);
  let isPrefilled = false;
  let eventAt: number | undefined;
  const completePrefill = () => {
    if (!isPrefilled) {
      isPrefilled = true;
      loads.remove(endpoint.id, {promptTokens});
    }
  };
  return {
    recordEvents: count => {
      const now = clock.now();
      if (!isPrefilled && promptTokens > 0) {
        const milliseconds = now - sentAt;
        const isInTime =
          milliseconds <= exchange.route.targetLatencyMilliseconds;
        loads.recordFirstEvent(endpoint.id, prefillTokens, milliseconds);
        loads.recordServed(endpoint, {openRequests, isInTime});
      }
      completePrefill();
      received.recordEvents(count);
      // No time ends with the first event of a run, or after a pause.
      const samples = eventAt === undefined ? count - 1 : count;
      if (samples > 0) {
        loads.recordEvent(endpoint.id, now - (eventAt ?? now), samples);
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
      received.end(clock.now() - sentAt);
    },
  };
}

/** Records what an organisation receives by a run. */
interface ReceivedWork {
  readonly recordEvents: (count: number) => void;
  /** Called at the end of the run with the time since it was sent. */
  readonly end: (milliseconds: number) => void;
}

/**
 * Counts what the organisation receives by a run, and tells the queue when the
 * run has ended, if requests wait for engines. Output is counted in steps,
 * because each count updates the recent work.
 */
function createReceivedWork(
  {organisation, service, route}: Exchange,
  {organisationWork, queuesForEngines, engineQueue}: ForwardingContext,
  promptTokens: number,
): ReceivedWork {
  if (!queuesForEngines()) {
    return {recordEvents: () => undefined, end: () => undefined};
  }
  const name = organisation?.name ?? 'public';
  const tokensPerEvent = service.engine?.tokensPerEvent ?? 1;
  let events = 0;
  let countedEvents = 0;
  const countOutput = () => {
    organisationWork.add(name, (events - countedEvents) * tokensPerEvent);
    countedEvents = events;
  };
  organisationWork.add(name, promptTokens);
  return {
    recordEvents: count => {
      events += count;
      if (events - countedEvents >= EVENTS_PER_COUNT) {
        countOutput();
      }
    },
    end: milliseconds => {
      countOutput();
      // A run that failed before its first event shows no duration.
      if (events > 0) {
        engineQueue.recordRun(
          route.name,
          events * tokensPerEvent,
          milliseconds,
        );
      }
      engineQueue.requestReview();
    },
  };
}
