/**
 * Sends a whole response of an endpoint to its caller.
 */
import {canHaveBody} from '@briarpin/platform';

import type {BufferedResponse} from '../buffered_response/buffered_response.js';
import {closesConnection} from '../closes_connection/closes_connection.js';
import type {Exchange, ExchangeResult} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/**
 * Forwards a complete response of an endpoint.
 *
 * @returns How the exchange ended
 */
export function sendBufferedResponse(
  exchange: Exchange,
  context: ForwardingContext,
  {status, headers: rawHeaders, body}: BufferedResponse,
): ExchangeResult {
  const {response, arrivedAt} = exchange;
  const {dialect, clock} = context;
  const headers = dialect.buildResponseHeaders(rawHeaders);
  if (canHaveBody(exchange.request.method, status)) {
    headers.push('Content-Length', String(body.length));
  }
  if (closesConnection(exchange, context)) {
    headers.push('Connection', 'close');
  }
  response.writeHead(status, headers);
  response.end(body);
  const firstByteMilliseconds = clock.now() - arrivedAt;
  return {outcome: 'done', status, firstByteMilliseconds};
}
