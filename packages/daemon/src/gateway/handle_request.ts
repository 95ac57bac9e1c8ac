/**
 * Request listener, which authorizes requests and routes them by path.
 */
import type http from 'node:http';

import type {StatusReply} from '@briarpin/messages';

import {runTask} from '@briarpin/telemetry';
import type {GatewayDependencies} from './gateway_dependencies.js';
import {handleCompletion} from './handle_completion.js';
import {handleServiceCall} from './handle_service_call.js';
import type {OpenResponses} from './open_responses.js';
import {
  createLeavingError,
  createRequestError,
  RESEND_REMEDY,
  RETRY_AFTER_MILLISECONDS,
  type HttpError,
} from './http_errors.js';
import {sendRefusal} from './send_refusal.js';

/** Options of {@link createRequestListener}. */
export interface RequestListenerOptions {
  readonly state: {
    readonly isDraining: boolean;
    openRequests: number;
    readonly responses: OpenResponses;
  };
  readonly status: () => StatusReply;
  /** Number of open requests at which further requests are rejected. */
  readonly maximumOpenRequests: number;
}

type RequestHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  organisation: string,
  dependencies: GatewayDependencies,
) => Promise<void>;

/**
 * Creates the request listener of a gateway's HTTP server.
 *
 * @param dependencies - Objects that the handlers share
 * @param options - State of the gateway; the listener updates its count of
 *     open requests
 * @returns The listener
 */
export function createRequestListener(
  dependencies: GatewayDependencies,
  options: RequestListenerOptions,
): http.RequestListener {
  return (request, response) => {
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    options.state.responses.add(response);
    if (!handleProbe(request, response, dependencies, options)) {
      runTask('request', dependencies.context.logger, () =>
        serveRequest(request, response, dependencies, options),
      );
    }
  };
}

async function serveRequest(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  dependencies: GatewayDependencies,
  options: RequestListenerOptions,
): Promise<void> {
  const {state} = options;
  const handler = findHandler(request);
  const organisation = dependencies.accessDirectory.findOrganisation(
    request.headers.authorization,
  );
  const error =
    findAdmissionError(dependencies, options) ??
    (organisation === undefined ? createUnauthorizedError() : undefined);
  if (error !== undefined || organisation === undefined) {
    sendRefusal(request, response, error ?? createUnauthorizedError());
    return;
  }
  if (handler === undefined) {
    sendRefusal(request, response, createNotFoundError(request));
    return;
  }
  state.openRequests += 1;
  response.once('close', () => (state.openRequests -= 1));
  try {
    await handler(request, response, organisation, dependencies);
  } catch (error) {
    endFailedRequest(request, response, dependencies, error);
  }
}

/**
 * Ends a request whose handler has thrown. It may have run, so that its connection
 * is closed without a response.
 */
function endFailedRequest(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  {context: {logger}}: GatewayDependencies,
  error: unknown,
): void {
  logger.error('request_handler_failed', {
    path: request.url,
    message: error instanceof Error ? error.stack : String(error),
  });
  response.destroy();
}

function findHandler(
  request: http.IncomingMessage,
): RequestHandler | undefined {
  const path = (request.url ?? '').split('?')[0] ?? '';
  if (path === '/v1/completions' && request.method === 'POST') {
    return handleCompletion;
  }
  return path.startsWith('/services/') ? handleServiceCall : undefined;
}

function findAdmissionError(
  dependencies: GatewayDependencies,
  options: RequestListenerOptions,
): HttpError | undefined {
  const createRefusal = (type: string, message: string): HttpError => ({
    ...createRequestError(503, type, message, RESEND_REMEDY),
    retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
  });
  if (options.state.isDraining) {
    return createLeavingError();
  }
  if (!dependencies.context.replica.isReady) {
    return createRefusal('not_ready', 'the gateway has no configuration yet');
  }
  return options.state.openRequests >= options.maximumOpenRequests
    ? createRefusal('overloaded', 'the gateway has too many open requests')
    : undefined;
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

/** Handles probes and operators' queries; returns false for other requests. */
function handleProbe(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  dependencies: GatewayDependencies,
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
      sendJson(response, 200, dependencies.context.histograms.summarise());
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
