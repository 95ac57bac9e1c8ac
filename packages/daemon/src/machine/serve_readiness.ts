/**
 * HTTP server of the readiness probe of the platform.
 */
import http from 'node:http';

import type {HostAndPort} from '@briarpin/settings';

/**
 * Serves the readiness probe on any path: 200 when ready, 503 when not.
 *
 * @param address - Address to bind
 * @param isReady - Evaluated at each request
 * @returns The listening server; rejects when the address cannot be bound
 */
export function serveReadiness(
  address: HostAndPort,
  isReady: () => boolean,
): Promise<http.Server> {
  const server = http.createServer((request, response) => {
    response.writeHead(isReady() ? 200 : 503);
    response.end();
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, () => resolve(server));
  });
}
