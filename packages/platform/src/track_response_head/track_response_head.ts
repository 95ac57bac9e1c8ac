/**
 * Tracks the bytes in which the head of an HTTP response arrives.
 */
import type {ClientRequest} from 'node:http';

import {findHeadFault} from '../find_head_fault/find_head_fault.js';
import {GrowingBuffer} from '../growing_buffer/growing_buffer.js';

/** Limit of all that precedes the body, with informational responses. */
const MAXIMUM_HEAD_BYTES = 131_072;

/** Head of the response to a request. */
export interface ResponseHead {
  /**
   * What is wrong with the head; undefined for one in order. Valid in listeners of
   * the event `response` that were added after this was created.
   */
  readonly fault: string | undefined;
}

/**
 * Tracks the head of the response to a request.
 *
 * Destroys a request that gets more bytes than a head can have and still no head:
 * blank lines or informational responses without end, which the parser of Node.js
 * reads for ever.
 *
 * @param request - Request that has not been sent yet
 * @param maximumBytes - Bytes that may arrive before the end of the head
 * @returns The head
 */
export function trackResponseHead(
  request: ClientRequest,
  maximumBytes = MAXIMUM_HEAD_BYTES,
): ResponseHead {
  const arrived = new GrowingBuffer();
  const collect = (chunk: Buffer) => arrived.append(chunk);
  const limit = () => {
    if (arrived.length > maximumBytes) {
      request.destroy(new Error('no head of a response in many bytes'));
    }
  };
  request.once('socket', socket => {
    // Must run before the client's own listener, which reports the response.
    socket.prependListener('data', collect);
    socket.on('data', limit);
    const stop = () => {
      socket.off('data', collect);
      socket.off('data', limit);
    };
    request.once('response', stop);
    request.once('close', stop);
  });
  let fault: string | undefined;
  request.once('response', () => {
    fault = findHeadFault(arrived.take());
  });
  return {
    get fault() {
      return fault;
    },
  };
}
