/**
 * Error responses that the gateway itself sends to callers.
 */
import type {ServerResponse} from 'node:http';

import type {Dialect} from '../dialect/dialect.js';
import {endAfterRequest} from '../end_after_request/end_after_request.js';

/** Why the gateway responds in place of an endpoint. */
export type ErrorResponse =
  /** The request did not and will not run; the caller may retry it. */
  | {
      readonly kind: 'not_run';
      readonly reason: string;
      readonly retryAfterMilliseconds: number;
    }
  /** The request may have run. */
  | {readonly kind: 'unknown'; readonly reason: string}
  /** The request timed out and may have run. */
  | {readonly kind: 'timed_out'; readonly reason: string}
  /** The request is rejected; a retry does not help. */
  | {
      readonly kind: 'rejected';
      readonly status: 400 | 401 | 404 | 413 | 431;
      readonly reason: string;
    };

/** Returns the HTTP status of an error response. */
export function getHttpStatus(errorResponse: ErrorResponse): number {
  switch (errorResponse.kind) {
    case 'not_run':
      return 503;
    case 'unknown':
      return 502;
    case 'timed_out':
      return 504;
    case 'rejected':
      return errorResponse.status;
  }
}

/** Options of {@link sendErrorResponse}. */
export interface SendErrorResponseOptions {
  readonly dialect: Dialect;
  /** True when the caller must open a new connection for its next request. */
  readonly closeConnection: boolean;
  /** True to end the response only after the rest of the request. */
  readonly readsRequestFirst?: boolean;
}

/**
 * Sends an error response as JSON.
 *
 * @param response - Response whose headers have not been sent
 * @param errorResponse - Kind and reason of the error
 * @param options - Dialect, and whether the connection is closed
 */
export function sendErrorResponse(
  response: ServerResponse,
  errorResponse: ErrorResponse,
  options: SendErrorResponseOptions,
): void {
  const body = JSON.stringify({
    error: {type: errorResponse.kind, message: errorResponse.reason},
  });
  const headers = [
    'Content-Type',
    'application/json',
    'Content-Length',
    String(Buffer.byteLength(body)),
  ];
  if (errorResponse.kind === 'not_run') {
    headers.push(
      ...options.dialect.buildRetryAfterHeaders(
        errorResponse.retryAfterMilliseconds,
      ),
    );
  }
  if (options.closeConnection) {
    headers.push('Connection', 'close');
  }
  response.writeHead(getHttpStatus(errorResponse), headers);
  if (options.readsRequestFirst === true && !response.req.complete) {
    response.write(body);
    endAfterRequest(response);
  } else {
    response.end(body);
  }
}
