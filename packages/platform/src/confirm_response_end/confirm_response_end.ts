/**
 * Decides whether the body of a response is complete.
 */
import type {ResponseEnd} from '../track_response_end/track_response_end.js';

/**
 * Decides whether a body that has ended is complete.
 *
 * An orderly closed connection proves nothing by itself, since the connections
 * of a process that ends are closed in the same way. A body that only its
 * connection delimits is therefore complete only if its server has not ended.
 *
 * @param end - End of the response, after its last byte
 * @param hasEnded - Finds out whether the server has ended; called only for
 *   a body that only its connection delimits
 * @returns True when the body is complete
 */
export async function confirmResponseEnd(
  end: ResponseEnd,
  hasEnded: () => Promise<boolean>,
): Promise<boolean> {
  if (end.framing !== 'connection') {
    return end.isWhole();
  }
  // A reset may be reported while the server is probed.
  return end.isWhole() && !(await hasEnded()) && end.isWhole();
}
