/**
 * Whether a response closes the connection of its caller.
 */
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/**
 * Returns whether the connection closes with the response: when the gateway
 * stops, unless it has already read another request on the connection.
 */
export function closesConnection(
  {connectionPosition}: Pick<Exchange, 'connectionPosition'>,
  {shutdown}: Pick<ForwardingContext, 'shutdown'>,
): boolean {
  return shutdown.hasBegun && !connectionPosition.isFollowed;
}
