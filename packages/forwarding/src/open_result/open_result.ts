/**
 * What became of an attempt to open a stream.
 */
import {
  gatherBody,
  type AttemptResult,
} from '../endpoint_client/endpoint_client.js';
import type {WholeAnswer} from '../exchange/exchange.js';

/** Statuses of an answer that holds a stream. */
const FIRST_SUCCESS_STATUS = 200;
const LAST_SUCCESS_STATUS = 299;

/** No engine has answered. */
export interface Unanswered {
  readonly kind: 'failed';
  readonly reason: string;
  /** False when the request has certainly not run. */
  readonly mayHaveRun: boolean;
  /** False when nothing of it left this process. */
  readonly wasSent: boolean;
}

/** Why no stream was opened. */
export type OpenFailure =
  | Unanswered
  /** The engine failed, and said so itself. */
  | (WholeAnswer & {readonly kind: 'failure_answer'});

/**
 * Tells whether an answer holds a stream of the engine.
 *
 * @param result - What became of an attempt
 */
export function isStream(
  result: AttemptResult,
): result is AttemptResult & {kind: 'answered'} {
  if (result.kind !== 'answered' || !result.facts.isSigned) {
    return false;
  }
  const status = result.response.statusCode ?? 0;
  return status >= FIRST_SUCCESS_STATUS && status <= LAST_SUCCESS_STATUS;
}

/**
 * Reads why an attempt did not open a stream.
 *
 * @param result - What became of the attempt
 * @returns The engine's own failure, or why there is no answer
 */
export async function readFailure(result: AttemptResult): Promise<OpenFailure> {
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
      const {response, facts} = result;
      const status = response.statusCode ?? 0;
      const gathered = await gatherBody(result);
      if (gathered.kind === 'broken' || !facts.isSigned) {
        const reason = `a broken answer with status ${status}`;
        return {kind: 'failed', reason, mayHaveRun: true, wasSent: true};
      }
      const {rawHeaders: headers} = response;
      return {kind: 'failure_answer', status, headers, body: gathered.body};
    }
  }
}
