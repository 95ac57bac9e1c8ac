/**
 * Log lines about the attempts of a request at endpoints.
 */
import type {EndpointEntry} from '@briarpin/coordination';
import type {EventFields} from '@briarpin/telemetry';

import {computeMemoryShare} from '../choose_placement/choose_placement.js';
import type {EndpointCandidate} from '../endpoint_loads/endpoint_loads.js';
import {describeSharedParts} from '../describe_shared_parts/describe_shared_parts.js';
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/** Logs at which engine a stream was placed, and why. */
export function logPlacement(
  exchange: Exchange,
  {logger}: Pick<ForwardingContext, 'logger'>,
  engine: EndpointCandidate,
): void {
  logger.info('placed', {
    request: exchange.metadata.requestId,
    endpoint: engine.id,
    software: engine.entry.softwareVersion,
    open: engine.openRequests,
    memory: computeMemoryShare(exchange, engine).toFixed(2),
    wait: Math.round(engine.waitMilliseconds),
    failures: engine.failureShare.toFixed(2),
  });
}

/** Logs a stream that its endpoint broke off. */
export function logBrokenStream(
  exchange: Exchange,
  {logger}: Pick<ForwardingContext, 'logger'>,
  endpoint: EndpointEntry,
  fields: EventFields,
): void {
  logger.info('stream_broke', {
    request: exchange.metadata.requestId,
    fingerprint: exchange.fingerprint(),
    parts: describeSharedParts(exchange),
    endpoint: endpoint.id,
    software: endpoint.softwareVersion,
    ...fields,
  });
}

/** Logs whether a stream goes on at an endpoint. */
export function logResumption(
  exchange: Exchange,
  {logger}: Pick<ForwardingContext, 'logger'>,
  endpoint: EndpointEntry,
  fields: EventFields,
): void {
  logger.info('stream_continued', {
    request: exchange.metadata.requestId,
    endpoint: endpoint.id,
    software: endpoint.softwareVersion,
    began: exchange.origin?.softwareVersion,
    ...fields,
  });
}

/** Logs how an answer ended that has neither a length nor chunks. */
export function logUnframedEnd(
  {metadata}: Exchange,
  {logger}: Pick<ForwardingContext, 'logger'>,
  endpoint: EndpointEntry,
  fields: EventFields,
): void {
  logger.info('unframed_answer_ended', {
    request: metadata.requestId,
    endpoint: endpoint.id,
    ...fields,
  });
}
