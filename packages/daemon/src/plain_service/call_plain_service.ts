/**
 * HTTP calls to plain services.
 */
import http from 'node:http';

import type {Header, ServiceAnswer, ServiceCall} from '@briarpin/messages';
import type {Result} from 'true-myth';

import {
  GuardedAgent,
  sendHttp,
  type HttpRequestError,
} from '@briarpin/platform';

const KEEP_ALIVE_AGENT = new GuardedAgent({keepAlive: true});
/**
 * Agent for calls that are not idempotent: a reused connection may be closed
 * before the service receives the call.
 */
const FRESH_CONNECTION_AGENT = new http.Agent({keepAlive: false});

/** Headers that apply to a single connection and are not forwarded. */
const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Forwards a call to a plain service and reads the complete response.
 *
 * @param serviceUrl - Base URL of the service
 * @param call - The call
 * @param timeoutMilliseconds - Maximum time without progress
 * @returns The response, or a failure that states whether the call was
 *     certainly not sent
 */
export async function callPlainService(
  serviceUrl: string,
  call: ServiceCall,
  timeoutMilliseconds: number,
): Promise<Result<ServiceAnswer, HttpRequestError>> {
  const response = await sendHttp({
    url: new URL(call.path, serviceUrl),
    method: call.method,
    headers: toOutgoingHeaders(call.headers),
    body: call.body.length > 0 ? Buffer.from(call.body) : undefined,
    timeoutMilliseconds,
    agent: call.idempotent ? KEEP_ALIVE_AGENT : FRESH_CONNECTION_AGENT,
  });
  return response.map(({status, headers, body}) => ({
    status,
    headers: selectForwardedHeaders(headers),
    body,
    replayed: false,
  }));
}

/**
 * Selects the headers to forward.
 *
 * @param headers - Headers of a request or a response
 * @returns The headers except those of the connection
 */
export function selectForwardedHeaders(
  headers: http.IncomingHttpHeaders,
): Header[] {
  return Object.entries(headers).flatMap(([name, value]) =>
    value === undefined || UNFORWARDED_HEADERS.has(name)
      ? []
      : [{name, value: Array.isArray(value) ? value.join(', ') : value}],
  );
}

function toOutgoingHeaders(
  headers: readonly Header[],
): http.OutgoingHttpHeaders {
  return Object.fromEntries(headers.map(({name, value}) => [name, value]));
}
