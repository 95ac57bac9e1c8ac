/**
 * Time that is left for an exchange.
 */
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/**
 * Returns the milliseconds until an exchange must be answered: until it expires
 * or the gateway ends; 0 once they have passed.
 */
export function computeRemainingMilliseconds(
  exchange: Exchange,
  {clock, shutdown}: Pick<ForwardingContext, 'clock' | 'shutdown'>,
): number {
  return Math.max(
    0,
    Math.min(
      exchange.expiresAt - clock.now(),
      shutdown.remainingAnswerMilliseconds,
    ),
  );
}
