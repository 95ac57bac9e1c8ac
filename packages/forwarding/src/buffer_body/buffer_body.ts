/**
 * Reads the body of a response before it is forwarded.
 */
import {GrowingBuffer} from '@briarpin/platform';

import {collectChunks} from '../collect_chunks/collect_chunks.js';
import type {AttemptResult} from '../endpoint_client/endpoint_client.js';
import type {MemoryAccount} from '../memory_budget/memory_budget.js';

/** Largest response body that is buffered before it is forwarded. */
export const MAXIMUM_BUFFERED_BYTES = 4_194_304;

/** Most chunks in which a buffered body arrives. */
const MAXIMUM_BUFFERED_CHUNKS = 65_536;

/** A complete body, or the reason why it is incomplete. */
export type BufferedBody = (
  | {readonly kind: 'whole'; readonly body: Buffer}
  | {readonly kind: 'broken'; readonly reason: string}
) & {
  /** True if the gateway paused the response for lack of memory. */
  readonly wasPaused: boolean;
};

/**
 * Reads the body of a response to its end. Pauses while there is no memory for
 * it.
 *
 * @param result - Response whose head has been read
 * @param memory - Account of the request, which holds the memory of a whole body
 * @returns The body; `broken` if it is incomplete or too large
 */
export function bufferBody(
  {response, framing, confirmEnd}: AttemptResult & {kind: 'answered'},
  memory: Pick<
    MemoryAccount,
    'holdResponse' | 'setResponseBytes' | 'releaseResponse'
  >,
): Promise<BufferedBody> {
  return new Promise(resolve => {
    const statedBytes =
      framing === 'length'
        ? Math.min(
            Number(response.headers['content-length']),
            MAXIMUM_BUFFERED_BYTES,
          )
        : undefined;
    const body = new GrowingBuffer(statedBytes);
    let hasEnded = false;
    let wasPaused = false;
    let isSettled = false;
    const fail = (reason: string) => {
      // The account may already hold the response of a retry.
      if (isSettled) {
        return;
      }
      isSettled = true;
      memory.releaseResponse();
      resolve({kind: 'broken', reason, wasPaused});
    };
    const hold = (bytes: number, maximumBytes: number) => {
      const granted = memory.holdResponse(bytes, maximumBytes);
      if (granted !== undefined) {
        wasPaused = true;
        response.pause();
        void granted.then(() => response.resume());
      }
    };
    let chunks = 0;
    collectChunks(response, (bytes, chunkCount) => {
      chunks += chunkCount;
      if (
        body.length + bytes.length > MAXIMUM_BUFFERED_BYTES ||
        chunks > MAXIMUM_BUFFERED_CHUNKS
      ) {
        fail('the answer is too large');
        response.destroy();
        return;
      }
      body.append(bytes);
      if (statedBytes === undefined) {
        hold(body.length, MAXIMUM_BUFFERED_BYTES);
      }
    });
    response.on('end', () => {
      hasEnded = true;
      void confirmEnd().then(isComplete => {
        if (!isComplete) {
          fail('the answer broke off');
          return;
        }
        isSettled = true;
        memory.setResponseBytes(body.length);
        resolve({kind: 'whole', body: body.take(), wasPaused});
      });
    });
    response.on('error', error => fail(error.message));
    response.on('close', () => {
      if (!hasEnded) {
        fail('the connection closed');
      }
    });
    if (statedBytes !== undefined) {
      hold(statedBytes, statedBytes);
    }
  });
}
