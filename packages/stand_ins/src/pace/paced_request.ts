/**
 * Requests and reports of the simulated gateways.
 */
import type {EndpointLoads, Exchange, ReportedWork} from '@briarpin/forwarding';

import {TOKENS_PER_EVENT} from './paced_engine.js';

/** Estimates of engines without own work in a report. */
const MAXIMUM_IDLE_ESTIMATES = 12;

/** Target of the time between two events. */
const TARGET_GAP_MILLISECONDS = 180;

/** Size of an engine. */
export const MEMORY_TOKENS = 26_888;
export const SLOTS = 24;

/** Requests of one kind. */
export interface PacedLoad {
  readonly kind: 'long' | 'short';
  readonly perSecond: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly targetLatencyMilliseconds: number;
}

/** How a request ended. */
export interface PacedResult {
  readonly kind: PacedLoad['kind'];
  readonly engine: string;
  readonly gateway: number;
  readonly sentAt: number;
  readonly outcome: 'done' | 'interrupted' | 'refused';
  readonly firstEventMilliseconds: number;
  readonly milliseconds: number;
  readonly longestGapMilliseconds: number;
  readonly isOnTime: boolean;
}

/** Creates the part of an exchange that a choice uses. */
export function createExchange(load: PacedLoad): Exchange {
  return {
    metadata: {
      promptTokens: load.promptTokens,
      maximumOutputTokens: 0,
      estimatedOutputTokens: load.outputTokens,
      promptParts: [],
    },
    route: {
      targetGapMilliseconds: TARGET_GAP_MILLISECONDS,
      targetLatencyMilliseconds: load.targetLatencyMilliseconds,
    },
    service: {
      name: 'text',
      engine: {
        slots: SLOTS,
        memoryTokens: MEMORY_TOKENS,
        tokensPerEvent: TOKENS_PER_EVENT,
        supportsMoves: false,
      },
    },
  } as unknown as Exchange;
}

/** Creates the report of a gateway, the work before the idle estimates. */
export function createReport(loads: EndpointLoads): Map<string, ReportedWork> {
  const paces = loads.createPaceReport();
  const report = new Map<string, ReportedWork>();
  for (const [id, work] of loads.localWork) {
    report.set(id, {...work, eventMicroseconds: paces.get(id) ?? 0});
  }
  const idle = [...paces].filter(([id]) => !report.has(id));
  for (const [id, eventMicroseconds] of idle.slice(0, MAXIMUM_IDLE_ESTIMATES)) {
    const none = {requests: 0, tokens: 0, promptTokens: 0};
    report.set(id, {...none, eventMicroseconds});
  }
  return report;
}

/** Summarises how a request ended. */
export function summarise(
  load: PacedLoad,
  timing: {sentAt: number; endedAt: number; events: readonly number[]},
  outcome: PacedResult['outcome'],
): Omit<PacedResult, 'engine' | 'gateway'> {
  const {sentAt, endedAt, events} = timing;
  const gaps = events.slice(1).map((at, index) => at - (events[index] ?? at));
  const longestGapMilliseconds = Math.max(0, ...gaps);
  const firstEventMilliseconds =
    (events[0] ?? Number.POSITIVE_INFINITY) - sentAt;
  return {
    kind: load.kind,
    sentAt,
    outcome,
    firstEventMilliseconds,
    milliseconds: endedAt - sentAt,
    longestGapMilliseconds,
    isOnTime:
      outcome === 'done' &&
      longestGapMilliseconds <= TARGET_GAP_MILLISECONDS &&
      firstEventMilliseconds <= load.targetLatencyMilliseconds,
  };
}
