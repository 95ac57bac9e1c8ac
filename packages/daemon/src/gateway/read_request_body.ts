/**
 * Bodies of callers' requests.
 */
import type http from 'node:http';

import {Result} from 'true-myth';

import {createRequestError, type HttpError} from './http_errors.js';

/**
 * Reads a body up to a limit.
 *
 * @param request - The request
 * @param maximumBytes - Largest body
 * @returns The body, or the error to answer with
 */
export async function readRequestBody(
  request: http.IncomingMessage,
  maximumBytes: number,
): Promise<Result<Buffer, HttpError>> {
  const declared = Number(request.headers['content-length'] ?? 0);
  if (declared > maximumBytes) {
    return Result.err(createTooLargeError(maximumBytes));
  }
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maximumBytes) {
        return Result.err(createTooLargeError(maximumBytes));
      }
      chunks.push(chunk);
    }
  } catch {
    const message = 'the request body broke off';
    return Result.err(
      createRequestError(400, 'incomplete_body', message, 'send it whole'),
    );
  }
  return Result.ok(Buffer.concat(chunks));
}

function createTooLargeError(maximumBytes: number): HttpError {
  const message = `the body is larger than ${maximumBytes} bytes`;
  return createRequestError(413, 'too_large', message, 'send a smaller body');
}
