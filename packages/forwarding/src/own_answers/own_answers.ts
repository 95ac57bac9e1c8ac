/**
 * Answers that the gateway gives itself.
 */
import type {ServerResponse} from 'node:http';

import type {Dialect} from '../dialect/dialect.js';

/** Why the gateway answers in place of an endpoint. */
export type OwnAnswer =
  /** The request has not run and will not; it may come again. */
  | {
      readonly kind: 'not_run';
      readonly reason: string;
      readonly retryAfterMilliseconds: number;
    }
  /** The request may have run. */
  | {readonly kind: 'unknown'; readonly reason: string}
  /** The time of the request is over, and it may have run. */
  | {readonly kind: 'timed_out'; readonly reason: string}
  /** The request is refused for good. */
  | {
      readonly kind: 'rejected';
      readonly status: 400 | 401 | 404 | 413 | 431;
      readonly reason: string;
    };

/** HTTP status of an answer of the gateway. */
export function toStatus(answer: OwnAnswer): number {
  switch (answer.kind) {
    case 'not_run':
      return 503;
    case 'unknown':
      return 502;
    case 'timed_out':
      return 504;
    case 'rejected':
      return answer.status;
  }
}

/** Options of {@link sendOwnAnswer}. */
export interface SendOwnAnswerOptions {
  readonly dialect: Dialect;
  /** True when the caller shall use another connection from now on. */
  readonly closeConnection: boolean;
}

/**
 * Sends an answer of the gateway.
 *
 * @param response - Response that has not begun
 * @param answer - What to say
 * @param options - Dialect, and whether the connection ends
 */
export function sendOwnAnswer(
  response: ServerResponse,
  answer: OwnAnswer,
  options: SendOwnAnswerOptions,
): void {
  const body = JSON.stringify({
    error: {type: answer.kind, message: answer.reason},
  });
  const headers = [
    'Content-Type',
    'application/json',
    'Content-Length',
    String(Buffer.byteLength(body)),
  ];
  if (answer.kind === 'not_run') {
    headers.push(
      ...options.dialect.writeRetryAfter(answer.retryAfterMilliseconds),
    );
  }
  if (options.closeConnection) {
    headers.push('Connection', 'close');
  }
  response.writeHead(toStatus(answer), headers);
  response.end(body);
}
