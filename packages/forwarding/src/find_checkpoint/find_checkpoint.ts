/**
 * Finds the checkpoint from which a broken stream can be resumed.
 */
import type {EndpointEntry} from '@briarpin/coordination';

import type {MemorySource} from '../dialect/dialect.js';
import type {EndpointStream} from '../endpoint_stream/endpoint_stream.js';
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/** Endpoint that continues a run, and the copy of the run's memory it loads. */
export interface ResumePoint {
  readonly endpoint: EndpointEntry;
  readonly memorySource?: MemorySource;
}

/**
 * Finds the engine that stores a checkpoint of a run and may continue it.
 *
 * @param exchange - Request of the run
 * @param context - Filter of the endpoints, and their limits
 * @param stream - The stream that broke
 * @returns The engine and its checkpoint; undefined if there is none, or the engine
 *   is not eligible, runs other software or accepts no request now
 */
export function findCheckpoint(
  exchange: Exchange,
  {
    eligibility,
    limits,
    coldEndpoints,
  }: Pick<ForwardingContext, 'eligibility' | 'limits' | 'coldEndpoints'>,
  stream: Pick<EndpointStream, 'endpoint' | 'checkpointHolder'>,
): ResumePoint | undefined {
  const {requestId} = exchange.metadata;
  const holder = stream.checkpointHolder;
  if (holder === undefined || requestId === undefined) {
    return undefined;
  }
  const endpoint = eligibility.find(exchange).find(({id}) => id === holder.id);
  if (
    endpoint?.softwareVersion !== stream.endpoint.softwareVersion ||
    limits.computePauseMilliseconds(endpoint.id) > 0 ||
    !coldEndpoints.hasCapacity(endpoint)
  ) {
    return undefined;
  }
  const {host, port} = endpoint;
  return {endpoint, memorySource: {host, port, handle: requestId}};
}
