/**
 * Requests that ask for an engine, and what decides on their order.
 */
import {REQUEST_CLASSES, type RequestClassName} from '../request/request.js';

/**
 * Requests by whose work an organisation may have received more than another
 * one and still have its timely requests served before late ones of the other.
 */
const LATE_SLACK_REQUESTS = 2;

/** A request that asks for an engine. */
export interface AdmissionRequest {
  readonly id: string;
  /** Equal for requests that the same engines may run. */
  readonly lane: string;
  readonly organisation: string;
  /** Weight of the organisation. */
  readonly weight: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly promptTokens: number;
  /** Expected output. */
  readonly outputTokens: number;
  /** Target of the time between two events, in milliseconds. */
  readonly targetGapMilliseconds: number;
  /** Expected time to read the prompt. */
  readonly prefillMilliseconds: number;
  /** Expected time from its start to its end. */
  readonly runMilliseconds: number;
  /** Monotonic time, in milliseconds. */
  readonly arrivedAt: number;
  /** Target of the time from its arrival to its first event. */
  readonly targetLatencyMilliseconds: number;
  /** Monotonic time at which it must have ended, in milliseconds. */
  readonly expiresAt: number;
}

/** Returns the expected work of a request, in tokens. */
export function computeCost(
  request: Pick<AdmissionRequest, 'promptTokens' | 'outputTokens'>,
): number {
  return request.promptTokens + request.outputTokens;
}

/**
 * Share of its output that a run holds on average over its time. The runs of an
 * engine are at different points, so that their memory is the sum of averages; the
 * sum of their final sizes would leave memory unused while requests wait for it.
 */
const MEAN_OUTPUT_SHARE = 0.5;

/** Returns the memory that a run holds on average, in tokens. */
export function computeMeanMemory({
  promptTokens,
  outputTokens,
}: Pick<AdmissionRequest, 'promptTokens' | 'outputTokens'>): number {
  return promptTokens + outputTokens * MEAN_OUTPUT_SHARE;
}

/** Returns the class in whose order a request of a priority starts. */
export function toRequestClass(priority: number): RequestClassName {
  const index = Math.min(Math.max(0, priority), REQUEST_CLASSES.length - 1);
  return REQUEST_CLASSES[Math.floor(index)] ?? 'deferrable';
}

/** Returns the work that the organisation of a request received, by its weight. */
export function computeReceivedShare(
  {organisation, weight}: Pick<AdmissionRequest, 'organisation' | 'weight'>,
  received: ReadonlyMap<string, number>,
): number {
  return (received.get(organisation) ?? 0) / weight;
}

/**
 * Returns whether the organisation of a late request has received so much less
 * that the request goes before a timely one.
 *
 * @param late - The late request
 * @param onTime - The timely request
 * @param received - Recent work by organisation, in tokens
 */
export function hasReceivedLess(
  late: AdmissionRequest,
  onTime: AdmissionRequest,
  received: ReadonlyMap<string, number>,
): boolean {
  const slack = (LATE_SLACK_REQUESTS * computeCost(late)) / late.weight;
  return (
    computeReceivedShare(late, received) + slack <
    computeReceivedShare(onTime, received)
  );
}
