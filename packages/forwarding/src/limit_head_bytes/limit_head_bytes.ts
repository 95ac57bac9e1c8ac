/**
 * Limits the bytes that an endpoint sends before the head of its response.
 */
import type {ClientRequest} from 'node:http';

/**
 * Destroys a request that gets more bytes than a head can have and still no head:
 * blank lines or informational responses without end, which the parser of Node.js
 * reads for ever.
 *
 * @param request - Request that has not been sent yet
 * @param maximumBytes - Bytes that may arrive before the end of the head
 */
export function limitHeadBytes(
  request: ClientRequest,
  maximumBytes: number,
): void {
  request.once('socket', socket => {
    let bytes = 0;
    let isComplete = false;
    const count = (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maximumBytes && !isComplete) {
        request.destroy(new Error('no head of a response in many bytes'));
      }
    };
    const stop = () => {
      isComplete = true;
      socket.off('data', count);
    };
    socket.on('data', count);
    request.once('response', stop);
    request.once('close', stop);
  });
}
