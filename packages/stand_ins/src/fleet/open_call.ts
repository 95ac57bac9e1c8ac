/**
 * gRPC call of a peer that sends its head and never its message.
 */
import http2 from 'node:http2';

/** Call that stays open until it is closed. */
export interface OpenCall {
  readonly close: () => void;
}

/**
 * Opens a call to the administration service of a process.
 *
 * @param port - Internal port of the process
 * @returns The call
 */
export function openCall(port: string): OpenCall {
  const session = http2.connect(`http://127.0.0.1:${port}`);
  session.on('error', () => undefined);
  const stream = session.request(
    {
      ':method': 'POST',
      ':path': '/briarpin.v1.Administration/ReadStatus',
      'content-type': 'application/grpc',
      te: 'trailers',
    },
    {endStream: false},
  );
  stream.on('error', () => undefined);
  return {close: () => session.destroy()};
}
