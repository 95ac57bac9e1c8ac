/**
 * Connections on which a part of a request's head has come.
 */
import type http from 'node:http';
import type {Socket} from 'node:net';

import {
  createLeavingError,
  formatErrorBody,
  formatRetryAfter,
} from './http_errors.js';

/** Time in which a caller reads the answer and closes its connection. */
const CLOSE_LIMIT_MILLISECONDS = 1_000;

/**
 * Finds requests that the server has not reported because their head is not
 * whole, and answers them.
 */
export class PartialHeads {
  /** Bytes of each connection that belong to requests that were reported. */
  private readonly reportedBytes = new Map<Socket, number>();
  private readonly openRequests = new Map<Socket, number>();

  /**
   * @param server - Server whose connections are watched
   */
  constructor(server: http.Server) {
    server.on('connection', socket => {
      this.reportedBytes.set(socket, 0);
      socket.once('close', () => {
        this.reportedBytes.delete(socket);
        this.openRequests.delete(socket);
      });
    });
    server.on('request', (request, response) => {
      const {socket} = request;
      this.countOpen(socket, 1);
      response.once('close', () => this.countOpen(socket, -1));
    });
  }

  /** Number of connections with a part of a head. */
  get size(): number {
    return this.listSockets().length;
  }

  /** Answers each of them 503 `not_run`, and closes its connection. */
  refuseAll(): void {
    const error = createLeavingError();
    const body = formatErrorBody(error);
    const answer =
      `HTTP/1.1 ${error.status} Service Unavailable\r\n` +
      'Content-Type: application/json\r\n' +
      `Content-Length: ${Buffer.byteLength(body)}\r\n` +
      `Retry-After: ${formatRetryAfter(error)}\r\n` +
      `Briarpin-Outcome: ${error.outcome}\r\n` +
      `Connection: close\r\n\r\n${body}`;
    for (const socket of this.listSockets()) {
      this.reportedBytes.delete(socket);
      socket.end(answer);
      socket.setTimeout(CLOSE_LIMIT_MILLISECONDS, () => socket.destroy());
    }
  }

  private countOpen(socket: Socket, change: number): void {
    const count = (this.openRequests.get(socket) ?? 0) + change;
    this.openRequests.set(socket, count);
    if (count === 0 && this.reportedBytes.has(socket)) {
      this.reportedBytes.set(socket, socket.bytesRead);
    }
  }

  private listSockets(): readonly Socket[] {
    return [...this.reportedBytes]
      .filter(
        ([socket, bytes]) =>
          !socket.destroyed &&
          socket.bytesRead > bytes &&
          (this.openRequests.get(socket) ?? 0) === 0,
      )
      .map(([socket]) => socket);
  }
}
