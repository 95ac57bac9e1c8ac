/**
 * Reads the body of a caller's request.
 */
import type {IncomingMessage} from 'node:http';

/** Outcome of {@link readBody}. */
export type ReadBodyResult =
  | {readonly kind: 'whole'; readonly body: Buffer}
  | {readonly kind: 'too_large'}
  /** The connection failed or closed before the body was complete. */
  | {readonly kind: 'broken'};

/**
 * Reads a body to its end.
 *
 * @param request - Request whose head has been read
 * @param maximumBytes - Largest body that is accepted
 * @returns The body, or why there is none
 */
export function readBody(
  request: IncomingMessage,
  maximumBytes: number,
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
  });
}
