/**
 * Records the outcome of a call in the averages of its endpoint.
 */
import type {EndpointEntry} from '@briarpin/coordination';

import type {EndpointLoads} from '../endpoint_loads/endpoint_loads.js';

/** Outcome of one attempt of a call. */
export interface CallOutcome {
  /** True when the endpoint failed or rejected the call. */
  readonly failed: boolean;
  /** True if the gateway had paused the response for lack of memory. */
  readonly wasPaused: boolean;
  /** Time from the attempt to its end. */
  readonly milliseconds: number;
}

/**
 * Records the outcome of a call. A failure after a pause is not recorded: the
 * endpoint may have given up on a response that this gateway did not read.
 *
 * @param loads - Averages of the endpoints
 * @param endpoint - Endpoint that received the call
 * @param outcome - How the attempt ended
 */
export function recordCallOutcome(
  loads: Pick<EndpointLoads, 'recordOutcome'>,
  {id, slots}: Pick<EndpointEntry, 'id' | 'slots'>,
  {failed, wasPaused, milliseconds}: CallOutcome,
): void {
  if (failed && wasPaused) {
    return;
  }
  loads.recordOutcome(id, failed, failed ? undefined : milliseconds, slots);
}
