/**
 * Keys of the properties for which a request may be suspected of a crash.
 */
import {computeFingerprint} from '@briarpin/coordination';

import type {Exchange} from '../exchange/exchange.js';
import {listSharedParts} from '../list_shared_parts/list_shared_parts.js';

/** Digits of a key, short enough for log lines and datagrams. */
const KEY_DIGITS = 16;

/** Keys of one request. */
export interface SuspectKeys {
  /** The request as a whole. */
  readonly request: string;
  /** The parts of its prompt that other requests may have too. */
  readonly parts: readonly string[];
}

/**
 * Computes the keys of a request.
 *
 * The key of a part is the same for all callers, routes and positions.
 *
 * @param request - Fingerprint and prompt of the request
 * @returns The key of the whole request, and those of the parts
 */
export function computeSuspectKeys({
  fingerprint,
  metadata,
}: Pick<Exchange, 'fingerprint' | 'metadata'>): SuspectKeys {
  return {
    request: fingerprint(),
    parts: listSharedParts(metadata).map(computePartKey),
  };
}

function computePartKey(id: string): string {
  return computeFingerprint('prompt part', id).slice(0, KEY_DIGITS);
}
