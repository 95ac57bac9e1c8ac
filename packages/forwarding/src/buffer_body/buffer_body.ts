/**
 * Reads the body of a response before it is forwarded.
 */
import {GrowingBuffer} from '@briarpin/platform';

import type {AttemptResult} from '../endpoint_client/endpoint_client.js';

/** Largest response body that is buffered before it is forwarded. */
export const MAXIMUM_BUFFERED_BYTES = 4_194_304;

/** A complete body, or the reason why it is incomplete. */
export type BufferedBody =
  | {readonly kind: 'whole'; readonly body: Buffer}
  | {readonly kind: 'broken'; readonly reason: string};

/**
 * Reads the body of a response to its end.
 *
 * @param result - Response whose head has been read
 * @returns The body; `broken` if it is incomplete or too large
 */
export function bufferBody({
  response,
  confirmEnd,
}: AttemptResult & {kind: 'answered'}): Promise<BufferedBody> {
  return new Promise(resolve => {
    const body = new GrowingBuffer();
    let hasEnded = false;
    const fail = (reason: string) => resolve({kind: 'broken', reason});
    response.on('data', (chunk: Buffer) => {
      if (body.length + chunk.length > MAXIMUM_BUFFERED_BYTES) {
        fail('the answer is too large');
        response.destroy();
        return;
      }
      body.append(chunk);
    });
    response.on('end', () => {
      hasEnded = true;
      void confirmEnd().then(isComplete =>
        isComplete
          ? resolve({kind: 'whole', body: body.take()})
          : fail('the answer broke off'),
      );
    });
    response.on('error', error => fail(error.message));
    response.on('close', () => {
      if (!hasEnded) {
        fail('the connection closed');
      }
    });
  });
}
