/**
 * Hands on the chunks of a response that arrive together as one.
 */
import type {Socket} from 'node:net';
import type {Readable} from 'node:stream';

import {GrowingBuffer} from '@briarpin/platform';

/**
 * Most bytes that arrive with no byte of the body among them, such as the digits
 * of a chunk's length without end.
 */
const MAXIMUM_FRAMING_BYTES = 1_048_576;

/** Response, and the connection from which it is read. */
export type ChunkSource = Readable & {readonly socket?: Socket};

/**
 * Collects the chunks that arrive in one turn of the event loop. A body can be
 * split into chunks of a byte; work for each of them would keep the process from
 * everything else. A response that has no body in very many bytes is destroyed.
 *
 * @param response - Response of which nothing has been read yet; listeners that
 *   are added to it later find all chunks handled
 * @param onBytes - Called with the bytes and the number of their chunks, also
 *   before the end of the response is reported
 */
export function collectChunks(
  response: ChunkSource,
  onBytes: (bytes: Buffer, chunkCount: number) => void,
): void {
  const collected = new GrowingBuffer();
  let first: Buffer | undefined;
  let count = 0;
  const flush = () => {
    if (first === undefined) {
      return;
    }
    const bytes = count === 1 ? first : collected.take();
    const chunkCount = count;
    first = undefined;
    count = 0;
    onBytes(bytes, chunkCount);
  };
  response.on('data', (chunk: Buffer) => {
    count += 1;
    if (first === undefined) {
      first = chunk;
      process.nextTick(flush);
      return;
    }
    if (collected.length === 0) {
      collected.append(first);
    }
    collected.append(chunk);
  });
  response.on('end', flush);
  response.on('error', flush);
  response.on('close', flush);
  limitFramingBytes(response);
}

/** Destroys a response whose connection brings bytes without end and no body. */
function limitFramingBytes(response: ChunkSource): void {
  const {socket} = response;
  let bytes = 0;
  const count = (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > MAXIMUM_FRAMING_BYTES) {
      response.destroy(new Error('no byte of the body in many bytes'));
    }
  };
  const stop = () => socket?.off('data', count);
  socket?.on('data', count);
  response.on('data', () => (bytes = 0));
  response.on('end', stop);
  response.on('close', stop);
}
