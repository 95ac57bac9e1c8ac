/**
 * Responses of a gateway that are not yet sent whole.
 */
import type http from 'node:http';
import type {Socket} from 'node:net';

/** Tracks responses from the start of a request's handler to their end. */
export class OpenResponses {
  /** Responses of each connection in the order of their requests. */
  private readonly connections = new Map<Socket, Set<http.ServerResponse>>();
  private mustCloseConnections = false;

  /** Number of responses that have not ended. */
  get size(): number {
    let count = 0;
    for (const responses of this.connections.values()) {
      count += responses.size;
    }
    return count;
  }

  /**
   * Tracks a response until it is closed.
   *
   * @param response - Response whose headers have not been sent
   */
  add(response: http.ServerResponse): void {
    const responses = this.findConnection(response.req.socket);
    const previous = findLast(responses);
    responses.add(response);
    response.once('close', () => responses.delete(response));
    if (this.mustCloseConnections) {
      setConnectionHeader(previous, 'keep-alive');
      setConnectionHeader(response, 'close');
    }
  }

  /**
   * Makes the last response of every connection, now and later, tell its caller
   * that the connection closes after it, unless its headers have been sent.
   */
  announceClose(): void {
    this.mustCloseConnections = true;
    for (const responses of this.connections.values()) {
      setConnectionHeader(findLast(responses), 'close');
    }
  }

  private findConnection(socket: Socket): Set<http.ServerResponse> {
    const existing = this.connections.get(socket);
    if (existing !== undefined) {
      return existing;
    }
    const responses = new Set<http.ServerResponse>();
    this.connections.set(socket, responses);
    socket.once('close', () => {
      this.connections.delete(socket);
      responses.forEach(closeUnsent);
    });
    return responses;
  }
}

/** Node.js closes only the response whose turn it is when a caller has gone. */
function closeUnsent(response: http.ServerResponse): void {
  if (response.socket === null) {
    response.destroy();
    response.emit('close');
  }
}

function findLast(
  responses: ReadonlySet<http.ServerResponse>,
): http.ServerResponse | undefined {
  return [...responses].at(-1);
}

function setConnectionHeader(
  response: http.ServerResponse | undefined,
  value: 'close' | 'keep-alive',
): void {
  if (response !== undefined && !response.headersSent) {
    response.setHeader('Connection', value);
  }
}
