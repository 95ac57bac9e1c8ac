/**
 * Priority of an exchange.
 */
import type {Exchange} from '../exchange/exchange.js';

/** Returns the organisation's priority, or the route's if it has none. */
export function resolvePriority({organisation, route}: Exchange): number {
  return organisation?.priority ?? route.priority;
}
