/**
 * Reading the body of a caller's request.
 */
import type {IncomingMessage} from 'node:http';

/** What became of a body. */
export type ReadBody =
  | {readonly kind: 'whole'; readonly body: Buffer}
  | {readonly kind: 'too_large'}
  /** The caller went away before it was complete. */
  | {readonly kind: 'broken'};

/**
 * Reads a body to its end.
 *
 * @param request - Request whose head was read
 * @param maximumBytes - Largest body that is taken
 * @returns The body, or why there is none
 */
export function readBody(
  request: IncomingMessage,
  maximumBytes: number,
): Promise<ReadBody> {
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
