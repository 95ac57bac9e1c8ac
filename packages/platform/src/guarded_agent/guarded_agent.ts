/**
 * HTTP agent that keeps connections alive and notices bytes on idle ones.
 */
import http from 'node:http';
import type net from 'node:net';

/**
 * Agent that destroys an idle connection when bytes arrive on it, because such
 * bytes belong to no request.
 */
export class GuardedAgent extends http.Agent {
  private readonly guards = new WeakMap<net.Socket, () => void>();

  keepSocketAlive(socket: net.Socket): boolean {
    const isPooled = super.keepSocketAlive(socket) as unknown as boolean;
    if (isPooled) {
      const guard = () => socket.destroy();
      this.guards.set(socket, guard);
      socket.on('data', guard);
    }
    return isPooled;
  }

  reuseSocket(socket: net.Socket, request: http.ClientRequest): void {
    const guard = this.guards.get(socket);
    if (guard !== undefined) {
      socket.removeListener('data', guard);
    }
    super.reuseSocket(socket, request);
  }
}
