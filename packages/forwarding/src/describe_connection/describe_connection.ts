/**
 * Log fields of a request that arrives while its gateway shuts down.
 */
import type {EventFields} from '@briarpin/telemetry';

import type {ConnectionPosition} from '../caller_connections/caller_connections.js';
import type {Shutdown} from '../shutdown/shutdown.js';

/**
 * Describes how long after the start of the shutdown a line is logged, and the
 * request's place on its connection.
 *
 * @param position - Place of the request on its connection
 * @param shutdown - Progress of the shutdown
 * @returns Fields of a log line; none unless the gateway shuts down
 */
export function describeConnection(
  {requestCount, ageMilliseconds}: ConnectionPosition,
  {elapsedMilliseconds}: Pick<Shutdown, 'elapsedMilliseconds'>,
): EventFields {
  return elapsedMilliseconds === undefined
    ? {}
    : {
        stopping: Math.round(elapsedMilliseconds),
        connection_requests: requestCount,
        connection_age: Math.round(ageMilliseconds),
      };
}
