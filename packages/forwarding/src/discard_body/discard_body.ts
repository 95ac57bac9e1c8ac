/**
 * Reads away the body of a response that nobody needs.
 */
import type {IncomingMessage} from 'node:http';

import {collectChunks} from '../collect_chunks/collect_chunks.js';

/**
 * Largest body that is read away so that its connection can be used again; a
 * new connection costs less than more bytes.
 */
const MAXIMUM_DISCARDED_BYTES = 65_536;

/**
 * Discards the body of a response. The connection is closed if the body is
 * large, as a body may never end.
 *
 * @param response - Response of which no body has been read yet
 */
export function discardBody(response: IncomingMessage): void {
  let size = 0;
  collectChunks(response, bytes => {
    size += bytes.length;
    if (size > MAXIMUM_DISCARDED_BYTES) {
      response.destroy();
    }
  });
}
