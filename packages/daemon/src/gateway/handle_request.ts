/**
 * Every request of a caller, by its path.
 */
import type http from 'node:http';

import type {StatusReply} from '@briarpin/messages';

import {runTask} from '@briarpin/telemetry';
import type {GatewayDependencies} from './gateway_dependencies.js';
import {handleCompletion} from './handle_completion.js';
import {handleServiceCall} from './handle_service_call.js';
import {
  createRequestError,
  sendHttpError,
  type HttpError,
} from './http_errors.js';

/** What the listener reads and counts. */
export interface RequestListenerOptions {
  readonly state: {readonly leaving: boolean; open: number};
  readonly status: () => StatusReply;
  readonly maximumOpenRequests: number;
}

type RequestHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  organisation: string,
  parts: GatewayDependencies,
) => Promise<void>;

/**
 * Creates the listener of a gateway's HTTP server.
 *
 * @param parts - Parts of the gateway
 * @param options - State of the process
 * @returns The listener
 */
export function createRequestListener(
  parts: GatewayDependencies,
  options: RequestListenerOptions,
): http.RequestListener {
  return (request, response) => {
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    if (!handleProbe(request, response, parts, options)) {
      runTask('request', parts.context.logger, () =>
        serveRequest(request, response, parts, options),
      );
    }
  };
}

async function serveRequest(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  parts: GatewayDependencies,
  options: RequestListenerOptions,
): Promise<void> {
  const {state} = options;
  const handler = findHandler(request);
  const organisation = parts.accessDirectory.findOrganisation(
    request.headers.authorization,
  );
  const error =
    findAdmissionError(parts, options) ??
    (organisation === undefined ? createUnauthorizedError() : undefined);
  if (error !== undefined || organisation === undefined) {
    rejectRequest(response, error ?? createUnauthorizedError());
    return;
  }
  if (handler === undefined) {
    rejectRequest(response, createNotFoundError(request));
    return;
  }
  state.open += 1;
  response.once('close', () => (state.open -= 1));
  if (state.leaving) {
    response.setHeader('Connection', 'close');
  }
  await handler(request, response, organisation, parts);
}

function findHandler(request: http.IncomingMessage): RequestHandler | undefined {
  const path = (request.url ?? '').split('?')[0] ?? '';
  if (path === '/v1/completions' && request.method === 'POST') {
    return handleCompletion;
  }
  return path.startsWith('/services/') ? handleServiceCall : undefined;
}

function findAdmissionError(
  parts: GatewayDependencies,
  options: RequestListenerOptions,
): HttpError | undefined {
  const remedy = 'send the request again, to another gateway if there is one';
  const refuseWith = (type: string, message: string): HttpError => ({
    ...createRequestError(503, type, message, remedy),
    retryAfterMilliseconds: 1_000,
  });
  if (options.state.leaving) {
    return refuseWith('leaving', 'the gateway is leaving');
  }
  if (!parts.context.replica.isReady) {
    return refuseWith('not_ready', 'the gateway has no configuration yet');
  }
  return options.state.open >= options.maximumOpenRequests
    ? refuseWith('overloaded', 'the gateway has too many open requests')
    : undefined;
}

/** The connection is closed, because the body may not have been read. */
function rejectRequest(response: http.ServerResponse, error: HttpError): void {
  response.setHeader('Connection', 'close');
  sendHttpError(response, error);
}

function createUnauthorizedError(): HttpError {
  return createRequestError(
    401,
    'unauthorized',
    'the request names no organisation',
    'send "Authorization: Bearer" with a key of your organisation',
  );
}

function createNotFoundError(request: http.IncomingMessage): HttpError {
  const message = `there is no ${request.method} ${JSON.stringify(request.url)}`;
  const remedy = 'use POST /v1/completions or /services/<service>/<path>';
  return createRequestError(404, 'not_found', message, remedy);
}

/** Answers probes and the operator's reads; false for other requests. */
function handleProbe(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  parts: GatewayDependencies,
  options: RequestListenerOptions,
): boolean {
  if (request.method !== 'GET') {
    return false;
  }
  switch (request.url) {
    case '/healthz':
      sendJson(response, 200, {healthy: true});
      return true;
    case '/readyz': {
      const status = options.status();
      sendJson(response, status.ready ? 200 : 503, status);
      return true;
    }
    case '/histograms':
      sendJson(response, 200, parts.context.histograms.summarise());
      return true;
    default:
      return false;
  }
}

function sendJson(
  response: http.ServerResponse,
  status: number,
  value: unknown,
): void {
  response.statusCode = status;
  response.setHeader('Content-Type', 'application/json');
  response.end(JSON.stringify(value));
}
