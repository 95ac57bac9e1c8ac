/**
 * Ends the response to a request whose body is still arriving.
 */
import type {ServerResponse} from 'node:http';

/**
 * Longest time for which the rest of a body is read away, in milliseconds. A
 * caller has received the response long before.
 */
const MAXIMUM_LINGER_MILLISECONDS = 2_000;

/**
 * Reads the rest of a request away and then ends its response. A connection that
 * closes with the response would otherwise be reset while the caller still sends,
 * and the reset discards the response.
 *
 * @param response - Response whose body has been written
 */
export function endAfterRequest(response: ServerResponse): void {
  const {req: request} = response;
  const end = () => {
    clearTimeout(timer);
    if (!response.writableEnded) {
      response.end();
    }
  };
  const timer = setTimeout(end, MAXIMUM_LINGER_MILLISECONDS);
  request.once('end', end);
  request.once('close', end);
  request.resume();
}
