/**
 * A TCP proxy on loopback that can go silent, as a partition does.
 */
import net from 'node:net';

/** Forwards connections to a port of the loopback interface. */
export class Proxy {
  /** @param {number} targetPort - Port to which connections are forwarded */
  constructor(targetPort) {
    this.targetPort = targetPort;
    this.isCut = false;
    this.sockets = new Set();
    this.server = net.createServer(client => this.accept(client));
  }

  /** Listens on a free loopback port and returns it. */
  listen() {
    return new Promise(resolve =>
      this.server.listen(0, '127.0.0.1', () =>
        resolve(this.server.address().port),
      ),
    );
  }

  /** Drops all bytes in both directions, and resets nothing. */
  cut() {
    this.isCut = true;
  }

  /** Lets new connections pass; those that were cut are closed. */
  heal() {
    this.isCut = false;
    this.sockets.forEach(socket => socket.destroy());
  }

  accept(client) {
    const target = net.connect({host: '127.0.0.1', port: this.targetPort});
    for (const [from, to] of [
      [client, target],
      [target, client],
    ]) {
      this.sockets.add(from);
      from.on('data', chunk => {
        if (!this.isCut) {
          to.write(chunk);
        }
      });
      from.on('error', () => undefined);
      from.on('close', () => {
        this.sockets.delete(from);
        to.destroy();
      });
    }
  }
}
