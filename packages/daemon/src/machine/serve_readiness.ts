/**
 * The address at which the platform asks whether a gateway takes callers.
 */
import http from 'node:http';

import type {HostAndPort} from '@briarpin/settings';

/**
 * Serves readiness: 200 when ready, 503 when not.
 *
 * @param address - Where to listen
 * @param isReady - Asked at each question
 * @returns The server, listening
 * @throws Error when the address cannot be bound
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
