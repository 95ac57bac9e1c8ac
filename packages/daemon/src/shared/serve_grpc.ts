/**
 * Creation, binding and closing of gRPC servers.
 */
import type {Clock} from '@briarpin/coordination';
import {Server, type ServerCredentials} from '@grpc/grpc-js';

import type {GracePeriod} from './grace_period.js';
import {CHANNEL_OPTIONS} from './transport_credentials.js';

const CLOSE_POLL_MILLISECONDS = 20;

/**
 * Creates a gRPC server with the options that all processes share.
 *
 * @returns A server without services
 */
export function createGrpcServer(): Server {
  return new Server(CHANNEL_OPTIONS);
}

/**
 * Binds a server to an address.
 *
 * @param server - The server
 * @param address - host:port; port 0 selects a free port
 * @param credentials - Credentials of the server
 * @returns The bound port
 * @throws Error when the address cannot be bound
 */
export function bindGrpcServer(
  server: Server,
  address: string,
  credentials: ServerCredentials,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.bindAsync(address, credentials, (error, port) => {
      if (error === null) {
        resolve(port);
      } else {
        reject(error);
      }
    });
  });
}

/**
 * Closes a server when its calls have ended, or when the process must end.
 *
 * @param server - The server
 * @param gracePeriod - Grace period of the process; calls that are open at its
 *     end are cancelled
 * @param clock - Clock of the process
 */
export async function closeGrpcServer(
  server: Server,
  gracePeriod: GracePeriod,
  clock: Clock,
): Promise<void> {
  let isClosed = false;
  server.tryShutdown(() => (isClosed = true));
  while (!isClosed && !gracePeriod.mustClose) {
    await clock.sleep(CLOSE_POLL_MILLISECONDS);
  }
  if (!isClosed) {
    server.forceShutdown();
  }
}
