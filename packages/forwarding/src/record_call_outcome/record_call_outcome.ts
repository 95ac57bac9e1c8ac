/**
 * Records the outcome of a call in the averages of its endpoint.
 */
import type {EndpointEntry} from '@briarpin/coordination';

import type {EndpointLoads} from '../endpoint_loads/endpoint_loads.js';

/** Outcome of one attempt of a call. */
export interface CallOutcome {
  /** True when the endpoint failed or rejected the call. */
  readonly failed: boolean;
  /** True if the endpoint's response was read to its end. */
  readonly isWhole: boolean;
  /** True if the gateway had paused the response for lack of memory. */
  readonly wasPaused: boolean;
  /** Time from the attempt to its end. */
  readonly milliseconds: number;
}

/**
 * Records the outcome of a call. A response that broke off after a pause is not
 * recorded: the endpoint may have given up on what this gateway did not read. A
 * pause also says nothing of the endpoint's speed.
 *
 * @param loads - Averages of the endpoints
 * @param endpoint - Endpoint that received the call
 * @param outcome - How the attempt ended
 */
export function recordCallOutcome(
  loads: Pick<EndpointLoads, 'recordOutcome'>,
  {id, slots}: Pick<EndpointEntry, 'id' | 'slots'>,
  {failed, isWhole, wasPaused, milliseconds}: CallOutcome,
): void {
  if (!isWhole && wasPaused) {
    return;
  }
  const showsTime = !failed && !wasPaused;
  loads.recordOutcome(id, failed, showsTime ? milliseconds : undefined, slots);
}
