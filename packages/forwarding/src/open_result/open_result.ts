/**
 * Outcome of an attempt to open a stream.
 */
import type {IncomingMessage} from 'node:http';

import {bufferBody} from '../buffer_body/buffer_body.js';
import {type AttemptResult} from '../endpoint_client/endpoint_client.js';
import type {BufferedResponse} from '../buffered_response/buffered_response.js';
import type {MemoryAccount} from '../memory_budget/memory_budget.js';

/** Range of the statuses that a stream response may have. */
const FIRST_SUCCESS_STATUS = 200;
const LAST_SUCCESS_STATUS = 299;

/** An attempt that got no usable response. */
export interface AttemptFailure {
  readonly kind: 'failed';
  readonly reason: string;
  /** False when the request certainly did not run. */
  readonly mayHaveRun: boolean;
  /** False when no byte of the request left this process. */
  readonly wasSent: boolean;
  /** `Retry-After` of a request that did not run; absent if none is known. */
  readonly retryAfterMilliseconds?: number;
}

/** Why no stream was opened. */
export type OpenFailure =
  | AttemptFailure
  /** A signed error response of the engine. */
  | (BufferedResponse & {readonly kind: 'failure_answer'});

/**
 * Returns whether a failed attempt has surely not run, so that the request may be
 * sent to another endpoint whatever its kind. An attempt that may have run ends the
 * search for an endpoint unless the request may be repeated.
 *
 * @param failure - The failed attempt
 */
export function hasSurelyNotRun(failure: OpenFailure): boolean {
  return failure.kind === 'failed' && !failure.mayHaveRun;
}

/**
 * Returns true for a signed success response, which carries a stream of the
 * engine.
 *
 * @param result - Outcome of an attempt
 */
export function isStreamResponse(
  result: AttemptResult,
): result is AttemptResult & {kind: 'answered'} {
  if (result.kind !== 'answered' || !result.metadata.isSigned) {
    return false;
  }
  const status = result.response.statusCode ?? 0;
  return status >= FIRST_SUCCESS_STATUS && status <= LAST_SUCCESS_STATUS;
}

/**
 * Returns true for a response whose body consists of events.
 *
 * @param response - Response of an endpoint
 */
export function isEventStream({
  headers,
}: Pick<IncomingMessage, 'headers'>): boolean {
  return headers['content-type']?.startsWith('text/event-stream') === true;
}

/**
 * Returns why an attempt did not open a stream. Reads the body of an error
 * response to its end.
 *
 * @param result - Outcome of the attempt
 * @param memory - Account of the request
 * @returns The engine's error response, or why there is no usable response
 */
export async function readFailure(
  result: AttemptResult,
  memory: MemoryAccount,
): Promise<OpenFailure> {
  switch (result.kind) {
    case 'not_sent':
    case 'unknown':
    case 'refused': {
      const mayHaveRun = result.kind === 'unknown';
      const wasSent = result.kind !== 'not_sent';
      const reason =
        result.kind === 'refused'
          ? `the engine refused it with ${result.status}`
          : result.reason;
      return {kind: 'failed', reason, mayHaveRun, wasSent};
    }
    case 'answered': {
      const {response, metadata} = result;
      const status = response.statusCode ?? 0;
      const buffered = await bufferBody(result, memory);
      if (buffered.kind === 'broken' || !metadata.isSigned) {
        const reason = `a broken answer with status ${status}`;
        return {kind: 'failed', reason, mayHaveRun: true, wasSent: true};
      }
      const {rawHeaders: headers} = response;
      return {kind: 'failure_answer', status, headers, body: buffered.body};
    }
  }
}
