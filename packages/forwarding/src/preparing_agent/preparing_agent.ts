/**
 * Connections that are opened before the requests that use them.
 */
import http from 'node:http';
import net from 'node:net';

/**
 * Time after which a prepared connection that nobody took is closed: above the
 * time of a long copy, below the idle timeouts of endpoints.
 */
const UNUSED_MILLISECONDS = 1_000;

/** Where a connection leads. */
export interface ConnectionTarget {
  readonly host: string;
  readonly port: number;
}

/** A connection that nobody has taken yet. */
interface PreparedConnection {
  readonly socket: net.Socket;
  /** Closes it when it is not taken in time. */
  readonly timer: NodeJS.Timeout;
}

/**
 * An agent with one connection for each request, which may have been opened
 * ahead: a request to another region then takes one round trip instead of two.
 * A prepared connection has carried nothing, so a request on it is as safe as
 * on a new one.
 *
 * @example
 * const agent = new PreparingAgent();
 * agent.prepare({host: '10.0.0.1', port: 80});
 * http.request({host: '10.0.0.1', port: 80, agent});
 */
export class PreparingAgent extends http.Agent {
  private readonly prepared = new Map<string, PreparedConnection>();

  constructor() {
    super({keepAlive: false});
  }

  /** Opens a connection, unless one is there that was not used. */
  prepare({host, port}: ConnectionTarget): void {
    const key = `${host}:${port}`;
    if (this.prepared.has(key)) {
      return;
    }
    const socket = net.connect({host, port});
    const timer = setTimeout(() => socket.destroy(), UNUSED_MILLISECONDS);
    timer.unref();
    const forget = () => {
      clearTimeout(timer);
      if (this.prepared.get(key)?.socket === socket) {
        this.prepared.delete(key);
      }
    };
    // A request that takes it meets the failure itself.
    socket.on('error', forget);
    socket.once('close', forget);
    this.prepared.set(key, {socket, timer});
  }

  /** Called by Node for each request; hands out what was prepared. */
  createConnection(options: net.NetConnectOpts): net.Socket {
    const {host, port} = options as net.TcpNetConnectOpts;
    const key = `${host ?? ''}:${port}`;
    const prepared = this.prepared.get(key);
    if (prepared === undefined || prepared.socket.destroyed) {
      return net.connect(options);
    }
    this.prepared.delete(key);
    clearTimeout(prepared.timer);
    return prepared.socket;
  }

  destroy(): void {
    this.prepared.forEach(({socket}) => socket.destroy());
    super.destroy();
  }
}
