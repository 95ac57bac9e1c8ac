/**
 * Records a stream that an endpoint has broken off.
 */
import type {EndpointLoads} from '../endpoint_loads/endpoint_loads.js';
import type {EndpointStream} from '../endpoint_stream/endpoint_stream.js';

/**
 * Records a fault of an endpoint that has broken off a stream. After a pause none
 * is recorded: the endpoint may have given up on a stream that was not read.
 *
 * @param loads - Limits of the endpoints
 * @param stream - Stream that broke off before its request had ended
 */
export function recordBrokenStream(
  loads: Pick<EndpointLoads, 'recordFault'>,
  {endpoint, wasPaused}: Pick<EndpointStream, 'endpoint' | 'wasPaused'>,
): void {
  if (!wasPaused) {
    loads.recordFault(endpoint);
  }
}
