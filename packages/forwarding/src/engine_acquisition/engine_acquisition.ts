/**
 * Outcome of the choice of an engine or of the wait for one.
 */
import type {EndpointCandidate} from '../endpoint_loads/endpoint_loads.js';
import type {AttemptFailure} from '../open_result/open_result.js';

/** Outcome of the choice of an engine or of the wait for one. */
export type EngineAcquisition =
  | {readonly kind: 'placed'; readonly engine: EndpointCandidate}
  | AttemptFailure
  /** No engine may run the request. */
  | {readonly kind: 'none'};

/**
 * Creates the failure of a request that was not sent.
 *
 * @param reason - Why it was not sent
 * @param retryAfterMilliseconds - When it may come again, if that is known
 */
export function createNotSent(
  reason: string,
  retryAfterMilliseconds?: number,
): AttemptFailure {
  return {
    kind: 'failed',
    reason,
    mayHaveRun: false,
    wasSent: false,
    retryAfterMilliseconds,
  };
}
