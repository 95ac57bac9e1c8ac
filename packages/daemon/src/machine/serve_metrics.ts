/**
 * HTTP server of the metrics.
 */
import http from 'node:http';

import type {HostAndPort} from '@briarpin/settings';
import type {GatewayMetrics} from '@briarpin/telemetry';

/**
 * Serves metrics in the Prometheus text format, on any path.
 *
 * @param address - Address to bind
 * @param metrics - Metrics to render
 * @returns The listening server; rejects when the address cannot be bound
 */
export function serveMetrics(
  address: HostAndPort,
  metrics: GatewayMetrics,
): Promise<http.Server> {
  const server = http.createServer((_request, response) => {
    metrics.render().then(
      text => {
        response.writeHead(200, {'Content-Type': metrics.contentType});
        response.end(text);
      },
      (error: Error) => {
        response.writeHead(500);
        response.end(error.message);
      },
    );
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, () => resolve(server));
  });
}
