/**
 * Error responses to callers.
 */
import type http from 'node:http';

import {FailureKind, Outcome, type Failure} from '@briarpin/messages';

/** Outcome of a call in responses and log events. */
export type OutcomeName = 'done' | 'not_run' | 'unknown';

/** Content of an error response. */
export interface HttpError {
  readonly status: number;
  readonly type: string;
  readonly message: string;
  readonly outcome: OutcomeName;
  readonly remedy: string;
  readonly retryAfterMilliseconds?: number;
}

const STATUS_BY_KIND: Readonly<Partial<Record<FailureKind, number>>> = {
  [FailureKind.DEADLINE_PASSED]: 504,
  [FailureKind.ENDPOINT_DIED]: 502,
  [FailureKind.GENERATION_LOST]: 502,
  [FailureKind.CLAIMED_ELSEWHERE]: 409,
  [FailureKind.TOO_LARGE]: 413,
  [FailureKind.INVALID_REQUEST]: 400,
  [FailureKind.OVER_ALLOWANCE]: 429,
};
const DEFAULT_STATUS = 503;
const MILLISECONDS_PER_SECOND = 1_000;
/** Time after which a refused request may be sent again. */
export const RETRY_AFTER_MILLISECONDS = 1_000;
/** Remedy for a request that another gateway may take. */
export const RESEND_REMEDY =
  'send the request again, to another gateway if there is one';

/** Converts an outcome to its name; an unspecified outcome is `unknown`. */
export function toOutcomeName(outcome: Outcome): OutcomeName {
  switch (outcome) {
    case Outcome.DONE:
      return 'done';
    case Outcome.NOT_RUN:
      return 'not_run';
    default:
      return 'unknown';
  }
}

/** Converts a failure of an attempt to an error response. */
export function toHttpError(failure: Failure): HttpError {
  return {
    status: STATUS_BY_KIND[failure.kind] ?? DEFAULT_STATUS,
    type: FailureKind[failure.kind].toLowerCase(),
    message: failure.message,
    outcome: toOutcomeName(failure.outcome),
    remedy: failure.remedy,
    retryAfterMilliseconds: failure.retryAfterMilliseconds,
  };
}

/**
 * Creates an error response for a request that was rejected before it ran.
 *
 * @param status - HTTP status code
 * @param type - Machine-readable type of the error
 * @param message - Description of the error
 * @param remedy - Action that lets the request succeed
 * @returns The error response, with the outcome `not_run`
 */
export function createRequestError(
  status: number,
  type: string,
  message: string,
  remedy: string,
): HttpError {
  return {status, type, message, remedy, outcome: 'not_run'};
}

/**
 * Creates the error response for a request that a leaving gateway has not run.
 *
 * @returns A 503 response of the type `leaving`, with the time to come back
 */
export function createLeavingError(): HttpError {
  return {
    ...createRequestError(
      503,
      'leaving',
      'the gateway is leaving',
      RESEND_REMEDY,
    ),
    retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
  };
}

/** Formats the JSON body of an error response. */
export function formatErrorBody(error: HttpError): string {
  const {type, message, outcome, remedy} = error;
  return JSON.stringify({error: {type, message, outcome, remedy}});
}

/** Formats the time after which a request may be sent again, in seconds. */
export function formatRetryAfter(error: HttpError): string {
  const milliseconds = error.retryAfterMilliseconds ?? 0;
  return String(Math.ceil(milliseconds / MILLISECONDS_PER_SECOND));
}

/**
 * Sends an error response.
 *
 * Destroys the connection when the headers have already been sent.
 *
 * @param response - HTTP response to write to
 * @param error - Content of the response
 */
export function sendHttpError(
  response: http.ServerResponse,
  error: HttpError,
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  setErrorHeaders(response, error);
  response.end(formatErrorBody(error));
}

/**
 * Sets the status and the headers of an error response.
 *
 * @param response - HTTP response whose headers have not been sent
 * @param error - Content of the response
 */
export function setErrorHeaders(
  response: http.ServerResponse,
  error: HttpError,
): void {
  if ((error.retryAfterMilliseconds ?? 0) > 0) {
    response.setHeader('Retry-After', formatRetryAfter(error));
  }
  response.setHeader('Briarpin-Outcome', error.outcome);
  response.setHeader('Content-Type', 'application/json');
  response.statusCode = error.status;
}
