/**
 * Reads the body of a caller's request.
 */
import type {IncomingMessage} from 'node:http';

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
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maximumBytes) {
        resolve({kind: 'too_large'});
        return;
      }
      chunks.push(chunk);
    });
    request.on('end', () =>
      resolve({kind: 'whole', body: Buffer.concat(chunks)}),
    );
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
