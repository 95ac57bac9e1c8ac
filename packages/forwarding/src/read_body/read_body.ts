/**
 * Reads the body of a caller's request.
 */
import type {IncomingMessage} from 'node:http';

import {GrowingBuffer} from '@briarpin/platform';

/** Outcome of {@link readBody}. */
export type ReadBodyResult =
  | {readonly kind: 'whole'; readonly body: Buffer}
  | {readonly kind: 'too_large'}
  /** The wait was aborted before the body was complete. */
  | {readonly kind: 'interrupted'}
  /** The connection failed or closed before the body was complete. */
  | {readonly kind: 'broken'};

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  /** Largest body that is accepted. */
  readonly maximumBytes: number;
  /** Ends the wait for the rest of the body. */
  readonly signal: AbortSignal;
}

/**
 * Reads a body to its end.
 *
 * @param request - Request whose head has been read
 * @param options - Limit of the size, and what ends the wait
 * @returns The body, or why there is none
 */
export function readBody(
  request: IncomingMessage,
  {maximumBytes, signal}: ReadBodyOptions,
): Promise<ReadBodyResult> {
  return new Promise(resolve => {
    const body = new GrowingBuffer();
    let isTooLarge = false;
    request.on('data', (chunk: Buffer) => {
      isTooLarge ||= body.length + chunk.length > maximumBytes;
      if (isTooLarge) {
        body.take();
        resolve({kind: 'too_large'});
        return;
      }
      body.append(chunk);
    });
    request.on('end', () => resolve({kind: 'whole', body: body.take()}));
    request.on('error', () => resolve({kind: 'broken'}));
    request.on('close', () => resolve({kind: 'broken'}));
    const interrupt = () =>
      resolve({kind: request.destroyed ? 'broken' : 'interrupted'});
    signal.addEventListener('abort', interrupt, {once: true});
    if (signal.aborted) {
      interrupt();
    }
  });
}
