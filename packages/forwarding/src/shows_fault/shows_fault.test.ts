/**
 * Tests which attempts without a response show a fault of their endpoint.
 *
 * Guards against callers that disconnect and thereby reduce the limit of a sound
 * endpoint, and against a hanging endpoint whose requests all expire and that
 * keeps its limit.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';
import {showsFault} from './shows_fault.js';

type Context = Pick<ForwardingContext, 'clock'>;

const EXPIRES_AT = 1_000;

function showsFaultAt(now: number, signal: AbortSignal): boolean {
  const clock = {now: () => now};
  const exchange = {signal, expiresAt: EXPIRES_AT};
  return showsFault(exchange, {clock} as unknown as Context);
}

describe('showsFault', () => {
  it('finds a fault in an attempt that failed by itself', () => {
    assert.equal(showsFaultAt(10, new AbortController().signal), true);
  });

  it('finds none if the caller has disconnected before', () => {
    assert.equal(showsFaultAt(999, AbortSignal.abort()), false);
  });

  it('finds a fault if the request has expired', () => {
    assert.equal(showsFaultAt(1_000, AbortSignal.abort()), true);
  });
});
