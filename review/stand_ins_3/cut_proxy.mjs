/**
 * A loopback proxy in front of a server, which can cut the path to it: bytes and
 * ends of connections are held up, and arrive after the cut.
 */
import net from 'node:net';

/** Forwards connections to a port of this machine, except during a cut. */
export class CutProxy {
  isCut = false;
  #held = [];
  #sockets = new Set();
  #server = net.createServer({allowHalfOpen: true}, socket =>
    this.#pass(() => this.#connect(socket)),
  );

  /** Starts to listen on a free port. */
  async start() {
    await new Promise(resolve => this.#server.listen(0, '127.0.0.1', resolve));
    this.port = this.#server.address().port;
  }

  /** Cuts the path: nothing gets through in either direction. */
  cut() {
    this.isCut = true;
  }

  /** Ends the cut: what was held up arrives in its order. */
  heal() {
    this.isCut = false;
    this.#held.splice(0).forEach(action => action());
  }

  /** Closes all. */
  stop() {
    this.#server.close();
    this.#sockets.forEach(socket => socket.destroy());
  }

  #pass(action) {
    if (this.isCut) {
      this.#held.push(action);
    } else {
      action();
    }
  }

  #connect(caller) {
    const server = net.connect({
      host: '127.0.0.1',
      port: this.targetPort,
      allowHalfOpen: true,
    });
    this.#forward(caller, server);
    this.#forward(server, caller);
  }

  #forward(from, to) {
    this.#sockets.add(from);
    from.on('data', bytes => this.#pass(() => to.write(bytes)));
    from.on('end', () => this.#pass(() => to.end()));
    from.on('error', () =>
      this.#pass(() => {
        if (!to.destroyed) {
          to.resetAndDestroy();
        }
      }),
    );
    from.on('close', () => this.#sockets.delete(from));
  }
}
