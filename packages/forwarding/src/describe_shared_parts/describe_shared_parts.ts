/**
 * The shared parts of a prompt in a log line.
 */
import type {Exchange} from '../exchange/exchange.js';
import {listSharedParts} from '../list_shared_parts/list_shared_parts.js';

/** Returns the shared parts of the prompt for a log line. */
export function describeSharedParts({
  metadata,
}: Pick<Exchange, 'metadata'>): string | undefined {
  return listSharedParts(metadata).join(',') || undefined;
}
