/**
 * HTTP agent that can open connections before the requests that use them.
 */
import http from 'node:http';
import net from 'node:net';

/**
 * Time after which an unused preconnection is closed: longer than a long copy,
 * shorter than the idle timeouts of endpoints.
 */
const UNUSED_TIMEOUT_MILLISECONDS = 1_000;

/** Address of a server. */
export interface ConnectionTarget {
  readonly host: string;
  readonly port: number;
}

/** A connection that no request has used yet. */
interface Preconnection {
  readonly socket: net.Socket;
  /** Closes the connection when no request uses it in time. */
  readonly timer: NodeJS.Timeout;
}

/**
 * Agent that uses a separate connection for each request and can preconnect:
 * a request to another region then takes one round trip instead of two. A
 * preconnection has carried no data, so a request on it is as safe as on a new
 * connection.
 *
 * @example
 * const agent = new PreconnectingAgent();
 * agent.preconnect({host: '10.0.0.1', port: 80});
 * http.request({host: '10.0.0.1', port: 80, agent});
 */
export class PreconnectingAgent extends http.Agent {
  private readonly preconnections = new Map<string, Preconnection>();

  constructor() {
    super({keepAlive: false});
  }

  /**
   * Opens a connection for a later request, unless an unused one to the target
   * exists.
   */
  preconnect({host, port}: ConnectionTarget): void {
    const key = `${host}:${port}`;
    if (this.preconnections.has(key)) {
      return;
    }
    const socket = net.connect({host, port});
    const timer = setTimeout(
      () => socket.destroy(),
      UNUSED_TIMEOUT_MILLISECONDS,
    );
    timer.unref();
    const evict = () => {
      clearTimeout(timer);
      if (this.preconnections.get(key)?.socket === socket) {
        this.preconnections.delete(key);
      }
    };
    // The request that uses the connection handles its failure.
    socket.on('error', evict);
    socket.once('close', evict);
    this.preconnections.set(key, {socket, timer});
  }

  /**
   * Returns the preconnection to the target, or else a new connection. Called by
   * Node.js for each request.
   */
  createConnection(options: net.NetConnectOpts): net.Socket {
    const {host, port} = options as net.TcpNetConnectOpts;
    const key = `${host ?? ''}:${port}`;
    const preconnection = this.preconnections.get(key);
    if (preconnection === undefined || preconnection.socket.destroyed) {
      return net.connect(options);
    }
    this.preconnections.delete(key);
    clearTimeout(preconnection.timer);
    return preconnection.socket;
  }

  /** Closes all preconnections and the connections of the agent. */
  destroy(): void {
    this.preconnections.forEach(({socket}) => socket.destroy());
    super.destroy();
  }
}
