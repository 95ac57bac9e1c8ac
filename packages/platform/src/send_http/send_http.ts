/**
 * Small HTTP calls with JSON bodies.
 */
import http from 'node:http';

import {Result} from 'true-myth';

/** Why a call has no usable answer. */
export interface HttpRequestError {
  /** `not_sent` only when no connection was made. */
  readonly kind: 'not_sent' | 'unknown';
  readonly message: string;
}

/** An answer whose body has been read. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/** A call to make. */
export interface HttpRequestOptions {
  readonly url: URL;
  readonly method: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: Buffer | string;
  /** For the whole call, the connection included. */
  readonly timeoutMilliseconds: number;
  readonly agent: http.Agent;
  readonly signal?: AbortSignal;
}

/**
 * Makes an HTTP call and reads the whole answer.
 *
 * @param call - The call
 * @returns The answer, or why there is none
 *
 * @example
 * await sendHttp({url, method: 'GET', timeoutMilliseconds: 1000, agent});
 */
export function sendHttp(
  call: HttpRequestOptions,
): Promise<Result<HttpResponse, HttpRequestError>> {
  return new Promise(settle => {
    let connected = false;
    const resolve = (result: Result<HttpResponse, HttpRequestError>) => {
      clearTimeout(timer);
      settle(result);
    };
    const fail = (error: Error) => {
      const kind = connected ? 'unknown' : 'not_sent';
      resolve(Result.err({kind, message: error.message}));
    };
    const request = http.request(call.url, {
      method: call.method,
      headers: call.headers,
      agent: call.agent,
      signal: call.signal,
    });
    // The request's own timeout does not run while it connects, and a peer
    // that is cut off may take many seconds to be tried again.
    const timer = setTimeout(() => {
      connected = true;
      request.destroy(new Error('no answer in time'));
    }, call.timeoutMilliseconds);
    request.on('socket', socket => {
      if (socket.connecting) {
        socket.once('connect', () => (connected = true));
      } else {
        connected = true;
      }
    });
    request.on('error', fail);
    request.on('response', response => {
      readBody(response).then(
        body =>
          resolve(
            Result.ok({
              status: response.statusCode ?? 0,
              headers: response.headers,
              body,
            }),
          ),
        fail,
      );
    });
    request.end(call.body);
  });
}

/** Reads a whole body. */
export async function readBody(stream: AsyncIterable<Buffer>): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of stream) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Parses JSON; undefined when it is broken. */
export function parseJson(body: Buffer | string): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
