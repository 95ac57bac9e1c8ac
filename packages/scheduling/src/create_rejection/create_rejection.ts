/**
 * Rejection of a request that cannot be served in its time.
 */
import type {AdmissionRequest} from '../admission_request/admission_request.js';

/** Largest random addition to a predicted wait, so that callers spread out. */
const RETRY_JITTER_SHARE = 0.25;

/** Shortest time after which a rejected request should come again. */
const MINIMUM_RETRY_MILLISECONDS = 500;

/** Why a request is rejected. */
export type AdmissionRejectionReason =
  'predicted_wait' | 'no_time_left' | 'no_engine';

/** A request that is not served. */
export interface AdmissionRejection {
  readonly request: AdmissionRequest;
  readonly reason: AdmissionRejectionReason;
  /** Predicted wait, in milliseconds. */
  readonly waitMilliseconds: number;
  /** Time after which it may come again, with jitter. */
  readonly retryAfterMilliseconds: number;
}

/**
 * Creates a rejection.
 *
 * @param request - The request
 * @param options - Why it is rejected, its predicted wait in milliseconds, and
 *   the source of random numbers in [0, 1)
 */
export function createRejection(
  request: AdmissionRequest,
  {
    reason,
    waitMilliseconds,
    random,
  }: Pick<AdmissionRejection, 'reason' | 'waitMilliseconds'> & {
    readonly random: () => number;
  },
): AdmissionRejection {
  const jitter = 1 + random() * RETRY_JITTER_SHARE;
  const retryAfterMilliseconds =
    Math.max(MINIMUM_RETRY_MILLISECONDS, waitMilliseconds) * jitter;
  return {request, reason, waitMilliseconds, retryAfterMilliseconds};
}
