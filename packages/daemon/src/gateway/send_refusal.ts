/**
 * Error responses to requests whose body is not wanted.
 */
import type http from 'node:http';

import {
  formatErrorBody,
  setErrorHeaders,
  type HttpError,
} from './http_errors.js';

/** Longest time for which the rest of a refused request is read. */
const LINGER_MILLISECONDS = 1_000;

/**
 * Answers a request at once, and closes its connection once its body has been
 * read and dropped, or after a second.
 *
 * A connection that is closed with unread bytes is reset, and its caller may
 * lose the answer.
 *
 * @param request - The request
 * @param response - HTTP response to write to
 * @param error - Content of the response
 */
export function sendRefusal(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  error: HttpError,
): void {
  const body = formatErrorBody(error);
  setErrorHeaders(response, error);
  response.setHeader('Connection', 'close');
  response.setHeader('Content-Length', Buffer.byteLength(body));
  response.write(body);
  const timer = setTimeout(() => response.end(), LINGER_MILLISECONDS);
  response.once('close', () => clearTimeout(timer));
  request.once('end', () => response.end());
  request.resume();
}
