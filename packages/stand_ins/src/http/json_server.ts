/**
 * HTTP server on loopback with JSON bodies, shared by the stand-ins.
 */
import http from 'node:http';
import type {AddressInfo} from 'node:net';

/** Server that is listening on loopback. */
export interface ListeningServer {
  readonly server: http.Server;
  /** Base URL. */
  readonly url: string;
  /** Closes the server and every connection. */
  readonly close: () => Promise<void>;
}

/**
 * Starts an HTTP server on loopback.
 *
 * @param listener - Handles a request; a rejection closes the connection
 * @param port - Port; 0 selects a free one
 * @returns The listening server
 */
export async function startServer(
  listener: (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ) => Promise<void>,
  port = 0,
): Promise<ListeningServer> {
  const server = http.createServer((request, response) => {
    response.on('error', () => undefined);
    listener(request, response).catch(() => response.destroy());
  });
  await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve));
  const {port: boundPort} = server.address() as AddressInfo;
  return {
    server,
    url: `http://127.0.0.1:${boundPort}`,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

/**
 * Reads a JSON body.
 *
 * @returns Parsed value; undefined when the body is empty
 * @throws SyntaxError when the body is not JSON
 */
export async function readJson(
  request: http.IncomingMessage,
): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? undefined : JSON.parse(text);
}

/** Sends a response with a JSON body. */
export function sendJson(
  response: http.ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, {'Content-Type': 'application/json'});
  response.end(JSON.stringify(value));
}
