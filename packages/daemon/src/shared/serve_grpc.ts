/**
 * Creation and binding of gRPC servers.
 */
import {Server, type ServerCredentials} from '@grpc/grpc-js';

import {CHANNEL_OPTIONS} from './transport_credentials.js';

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
