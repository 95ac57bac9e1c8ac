/**
 * HTTP calls whose responses are read into memory.
 */
import http from 'node:http';

import {Result} from 'true-myth';

import {confirmResponseEnd} from '../confirm_response_end/confirm_response_end.js';
import {GrowingBuffer} from '../growing_buffer/growing_buffer.js';
import {probeListener} from '../probe_listener/probe_listener.js';
import {trackResponseEnd} from '../track_response_end/track_response_end.js';
import {trackResponseHead} from '../track_response_head/track_response_head.js';

/** Largest body of a response, in bytes: several of the largest pages of logs. */
const MAXIMUM_BODY_BYTES = 16_777_216;

/** Error of a call without a usable response. */
export interface HttpRequestError {
  /** `not_sent` only when no connection was established. */
  readonly kind: 'not_sent' | 'unknown';
  readonly message: string;
}

/** Response with its complete body. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Options of {@link sendHttp}. */
export interface HttpRequestOptions {
  readonly url: URL;
  readonly method: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: Buffer | string;
  /** Timeout of the whole call, including the connection setup. */
  readonly timeoutMilliseconds: number;
  /** Largest body of the response; many megabytes by default. */
  readonly maximumBytes?: number;
  readonly agent: http.Agent;
  readonly signal?: AbortSignal;
}

/**
 * Sends an HTTP request and reads the whole response.
 *
 * @param options - Request, timeout and agent
 * @returns The response, or the error of the call
 *
 * @example
 * await sendHttp({url, method: 'GET', timeoutMilliseconds: 1000, agent});
 */
export function sendHttp(
  options: HttpRequestOptions,
): Promise<Result<HttpResponse, HttpRequestError>> {
  return new Promise(resolve => {
    let mayHaveBeenSent = false;
    const settle = (result: Result<HttpResponse, HttpRequestError>) => {
      clearTimeout(timer);
      resolve(result);
    };
    const fail = (error: Error) => {
      const kind = mayHaveBeenSent ? 'unknown' : 'not_sent';
      settle(Result.err({kind, message: error.message}));
    };
    const request = http.request(options.url, {
      method: options.method,
      headers: options.headers,
      agent: options.agent,
      signal: options.signal,
    });
    const head = trackResponseHead(request);
    // The timeout option of `http.request` does not cover the connection setup,
    // and connection attempts to an unreachable peer may be many seconds apart.
    // A timeout is always reported as `unknown`.
    const timer = setTimeout(() => {
      mayHaveBeenSent = true;
      request.destroy(new Error('no answer in time'));
    }, options.timeoutMilliseconds);
    request.on('socket', socket => {
      if (socket.connecting) {
        socket.once('connect', () => (mayHaveBeenSent = true));
      } else {
        mayHaveBeenSent = true;
      }
    });
    request.on('error', fail);
    let hasResponse = false;
    // An exchange may end with neither, as after an unexpected upgrade.
    request.on('close', () => {
      if (!hasResponse) {
        fail(new Error('the exchange ended without a response'));
      }
    });
    request.on('response', response => {
      hasResponse = true;
      if (head.fault !== undefined) {
        fail(new Error(head.fault));
        request.destroy();
        return;
      }
      readCompleteBody(response, options).then(
        body =>
          settle(
            Result.ok({
              status: response.statusCode ?? 0,
              headers: response.headers,
              body,
            }),
          ),
        fail,
      );
    });
    request.end(options.body);
  });
}

/**
 * Reads the body of a response.
 *
 * @throws Error when the body is incomplete or too large
 */
async function readCompleteBody(
  response: http.IncomingMessage,
  {
    url: {hostname, port},
    maximumBytes = MAXIMUM_BODY_BYTES,
  }: HttpRequestOptions,
): Promise<Buffer> {
  const end = trackResponseEnd(response);
  const body = await readBody(response, maximumBytes);
  const hasEnded = async () =>
    (await probeListener({host: hostname, port: Number(port)})) ===
    'not_listening';
  if (!(await confirmResponseEnd(end, hasEnded))) {
    throw new Error('the answer broke off');
  }
  return body;
}

/**
 * Reads a stream to its end.
 *
 * @param stream - Stream of a body; closed early if the body is too large
 * @param maximumBytes - Largest body that is accepted
 * @returns The bytes of all chunks
 * @throws Error when the body is too large
 */
export async function readBody(
  stream: AsyncIterable<Buffer>,
  maximumBytes: number,
): Promise<Buffer> {
  const body = new GrowingBuffer();
  for await (const chunk of stream) {
    if (body.length + chunk.length > maximumBytes) {
      throw new Error('the answer is too large');
    }
    body.append(chunk);
  }
  return body.take();
}

/** Parses JSON; returns undefined when it is malformed. */
export function parseJson(body: Buffer | string): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
