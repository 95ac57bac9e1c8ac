/**
 * Attempts that show a fault of their endpoint.
 */
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/**
 * Returns whether an attempt without a response shows a fault of its endpoint: it
 * does not if the caller has disconnected before the request expired.
 */
export function showsFault(
  {signal, expiresAt}: Pick<Exchange, 'signal' | 'expiresAt'>,
  {clock}: Pick<ForwardingContext, 'clock'>,
): boolean {
  return !signal.aborted || clock.now() >= expiresAt;
}
