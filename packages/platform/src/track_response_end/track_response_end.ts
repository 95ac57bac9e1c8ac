/**
 * Tracks how the body of an HTTP response ends.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';

import {canHaveBody} from '../can_have_body/can_have_body.js';

/** What delimits the body of a response. */
export type BodyFraming =
  /** The response can have no body and is complete at its head. */
  | 'none'
  | 'length'
  | 'chunks'
  /** Nothing but the end of the connection. */
  | 'connection';

/** How the body of a response ended; valid after its last byte. */
export interface ResponseEnd {
  readonly framing: BodyFraming;
  /**
   * False when the framing or the connection shows that the body is incomplete.
   * True does not prove that it is complete if only the connection delimits it.
   */
  readonly isWhole: () => boolean;
}

/**
 * Tracks the end of a response whose head has just been read.
 *
 * A body that only its connection delimits ends when the connection is closed,
 * and a reset can look like such an end: the event loop reports the end of the
 * stream if the reset arrives together with the last bytes. Only an orderly
 * closed connection still has a peer address then.
 *
 * @param response - Response of which no body has been read yet
 * @returns The framing, and how the body ended
 */
export function trackResponseEnd(response: IncomingMessage): ResponseEnd {
  const {socket} = response;
  const framing = getBodyFraming(response);
  if (framing === 'none') {
    return {framing, isWhole: () => true};
  }
  if (framing !== 'connection') {
    return {framing, isWhole: () => response.complete};
  }
  let closedInOrder = false;
  // Must run before the client's own listener, which closes the socket.
  socket.prependOnceListener('end', () => {
    closedInOrder = socket.remotePort !== undefined;
  });
  socket.once('error', () => (closedInOrder = false));
  return {framing, isWhole: () => response.complete && closedInOrder};
}

function getBodyFraming(
  response: IncomingMessage & {readonly req?: ClientRequest},
): BodyFraming {
  const {headers, statusCode, req: request} = response;
  if (!canHaveBody(request?.method, statusCode)) {
    return 'none';
  }
  if (headers['transfer-encoding'] !== undefined) {
    return 'chunks';
  }
  return headers['content-length'] === undefined ? 'connection' : 'length';
}
