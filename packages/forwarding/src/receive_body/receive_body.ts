/**
 * Receives the body of an admitted request.
 */
import type {Route} from '@briarpin/coordination';

import {computeExpiry} from '../create_exchange/create_exchange.js';
import {
  createLateBodyRejection,
  createMemoryRejection,
} from '../create_memory_rejection/create_memory_rejection.js';
import type {ErrorResponse} from '../error_response/error_response.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';
import type {MemoryAccount} from '../memory_budget/memory_budget.js';
import type {OpenRequest} from '../open_request/open_request.js';
import {readBody, type ReadBodyResult} from '../read_body/read_body.js';

/** Outcome of {@link receiveBody}. */
export type ReceivedBody =
  | Extract<ReadBodyResult, {kind: 'whole' | 'interrupted' | 'broken'}>
  | {readonly kind: 'rejected'; readonly errorResponse: ErrorResponse};

/** Options of {@link receiveBody}. */
export interface ReceiveBodyOptions {
  readonly route: Pick<Route, 'timeoutMilliseconds'>;
  /** Largest body that is accepted. */
  readonly maximumBytes: number;
  /** Account of the request. */
  readonly memory: MemoryAccount;
}

/**
 * Receives a body, at most until the time of its request is over.
 *
 * @param open - Request whose head has been read
 * @param options - Route, limit of the size and memory
 * @param context - Clock, log and random source
 * @returns The body, or why there is none
 */
export async function receiveBody(
  open: OpenRequest,
  {route, maximumBytes, memory}: ReceiveBodyOptions,
  context: Pick<ForwardingContext, 'clock' | 'memory' | 'logger' | 'random'>,
): Promise<ReceivedBody> {
  const read = await readBody(open.request, {
    maximumBytes,
    memory,
    signal: open.controller.signal,
    timeoutMilliseconds: computeExpiry(open, route) - context.clock.now(),
  });
  switch (read.kind) {
    case 'no_memory': {
      const errorResponse = createMemoryRejection(open, context);
      return {kind: 'rejected', errorResponse};
    }
    case 'timed_out': {
      const errorResponse = createLateBodyRejection(context);
      return {kind: 'rejected', errorResponse};
    }
    case 'too_large': {
      const reason = 'the body is larger than operators allow';
      const errorResponse = {kind: 'rejected', status: 413, reason} as const;
      return {kind: 'rejected', errorResponse};
    }
    default:
      return read;
  }
}
