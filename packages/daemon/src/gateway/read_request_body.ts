/**
 * Reading of request bodies with a size limit.
 */
import type http from 'node:http';

import {GrowingBuffer} from '@briarpin/platform';
import {Result} from 'true-myth';

import type {GracePeriod} from '../shared/grace_period.js';
import {
  createLeavingError,
  createRequestError,
  type HttpError,
} from './http_errors.js';

/**
 * Reads a request body up to a size limit.
 *
 * @param request - The request
 * @param maximumBytes - Maximum size of the body, in bytes
 * @param gracePeriod - Grace period of the process
 * @returns The body, or the error response when it is too large, incomplete, or
 *     has not come when the answers of a stopping process are due
 */
export async function readRequestBody(
  request: http.IncomingMessage,
  maximumBytes: number,
  gracePeriod: GracePeriod,
): Promise<Result<Buffer, HttpError>> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > maximumBytes) {
    return Result.err(createTooLargeError(maximumBytes));
  }
  let stopWaiting: () => void = () => undefined;
  const answersDue = new Promise<Result<Buffer, HttpError>>(resolve => {
    stopWaiting = gracePeriod.onAnswersDue(() =>
      resolve(Result.err(createLeavingError())),
    );
  });
  const body = await Promise.race([
    readWhole(request, maximumBytes),
    answersDue,
  ]);
  stopWaiting();
  return body;
}

async function readWhole(
  request: http.IncomingMessage,
  maximumBytes: number,
): Promise<Result<Buffer, HttpError>> {
  const body = new GrowingBuffer();
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      if (body.length + chunk.length > maximumBytes) {
        return Result.err(createTooLargeError(maximumBytes));
      }
      body.append(chunk);
    }
  } catch {
    const message = 'the request body broke off';
    return Result.err(
      createRequestError(400, 'incomplete_body', message, 'send it whole'),
    );
  }
  return Result.ok(body.take());
}

function createTooLargeError(maximumBytes: number): HttpError {
  const message = `the body is larger than ${maximumBytes} bytes`;
  return createRequestError(413, 'too_large', message, 'send a smaller body');
}
