/**
 * Responses of a gateway that are not yet sent whole.
 */
import type http from 'node:http';
import type {Socket} from 'node:net';

/** Tracks responses from the first byte of a request's handler to their end. */
export class OpenResponses {
  private readonly responses = new Set<http.ServerResponse>();
  /** Last response of each connection; a caller may send requests ahead. */
  private readonly lastResponses = new Map<Socket, http.ServerResponse>();
  private mustCloseConnections = false;

  /** Number of responses that have not ended. */
  get size(): number {
    return this.responses.size;
  }

  /**
   * Tracks a response until it is closed.
   *
   * @param response - Response whose headers have not been sent
   */
  add(response: http.ServerResponse): void {
    const {socket} = response.req;
    const previous = this.lastResponses.get(socket);
    this.responses.add(response);
    this.lastResponses.set(socket, response);
    response.once('close', () => this.remove(response, socket));
    if (this.mustCloseConnections) {
      if (previous !== undefined) {
        setConnectionHeader(previous, 'keep-alive');
      }
      setConnectionHeader(response, 'close');
    }
  }

  /**
   * Makes the last response of every connection, now and later, tell its caller
   * that the connection closes after it, unless its headers have been sent.
   */
  announceClose(): void {
    this.mustCloseConnections = true;
    for (const response of this.lastResponses.values()) {
      setConnectionHeader(response, 'close');
    }
  }

  private remove(response: http.ServerResponse, socket: Socket): void {
    this.responses.delete(response);
    if (this.lastResponses.get(socket) === response) {
      this.lastResponses.delete(socket);
    }
  }
}

function setConnectionHeader(
  response: http.ServerResponse,
  value: 'close' | 'keep-alive',
): void {
  if (!response.headersSent) {
    response.setHeader('Connection', value);
  }
}
