/**
 * Ends an exchange that got no usable response from an endpoint.
 */
import {closesConnection} from '../closes_connection/closes_connection.js';
import {
  sendErrorResponse,
  type ErrorResponse,
} from '../error_response/error_response.js';
import type {Exchange, ExchangeResult} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/** Why an exchange got no usable response from an endpoint. */
export interface ExchangeFailure {
  readonly reason: string;
  /** False when the request certainly did not run. */
  readonly mayHaveRun: boolean;
  /** `Retry-After` for a request that did not run. */
  readonly retryAfterMilliseconds: number;
}

/**
 * Sends the error response of an exchange that got no usable response from an
 * endpoint.
 *
 * @returns How the exchange ended
 */
export function failExchange(
  exchange: Exchange,
  context: ForwardingContext,
  {reason, mayHaveRun, retryAfterMilliseconds}: ExchangeFailure,
): ExchangeResult {
  if (!mayHaveRun) {
    return sendExchangeError(exchange, context, {
      kind: 'not_run',
      reason,
      retryAfterMilliseconds,
    });
  }
  const kind = exchange.signal.aborted ? 'timed_out' : 'unknown';
  return sendExchangeError(exchange, context, {kind, reason});
}

/**
 * Sends an error response of the gateway, unless a response has begun.
 *
 * @returns How the exchange ended
 */
function sendExchangeError(
  exchange: Exchange,
  context: ForwardingContext,
  errorResponse: ErrorResponse,
): ExchangeResult {
  const {response} = exchange;
  if (!response.headersSent && !response.destroyed) {
    sendErrorResponse(response, errorResponse, {
      dialect: context.dialect,
      closeConnection: closesConnection(exchange, context),
    });
  }
  return {
    outcome: errorResponse.kind === 'not_run' ? 'not_run' : 'unknown',
    status: response.statusCode,
    reason: errorResponse.reason,
  };
}
