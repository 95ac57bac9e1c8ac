/**
 * Decides whether the body of a response is complete.
 */
import type {ResponseEnd} from '../track_response_end/track_response_end.js';

/**
 * Decides whether a body that has ended is complete.
 *
 * An orderly closed connection proves nothing by itself, since the connections
 * of a process that crashes are closed in the same way. A body that only its
 * connection delimits is therefore complete only if its server has not crashed.
 *
 * @param end - End of the response, after its last byte
 * @param hasCrashed - Finds out whether the server has crashed; called only for
 *   a body that only its connection delimits
 * @returns True when the body is complete
 */
export async function confirmResponseEnd(
  end: ResponseEnd,
  hasCrashed: () => Promise<boolean>,
): Promise<boolean> {
  if (end.framing !== 'connection') {
    return end.isWhole();
  }
  // A reset may be reported while the server is probed.
  return end.isWhole() && !(await hasCrashed()) && end.isWhole();
}
