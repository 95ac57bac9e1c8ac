/**
 * Tests of the wait between two reads of the endpoints.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {VirtualClock} from '@briarpin/coordination';

import {gatherEndpoints} from './gather_endpoints.js';

const DRAIN_MILLISECONDS = 4_000;

/** Measures the wait; what the readers tell is `toldAge` old at a time. */
async function measureWait(
  isReader: boolean,
  toldAge: (now: number) => number,
): Promise<number> {
  const clock = new VirtualClock();
  const startedAt = clock.now();
  let endedAt = Number.POSITIVE_INFINITY;
  const waited = gatherEndpoints(
    {
      clock,
      bounds: {drainMilliseconds: DRAIN_MILLISECONDS},
      isReader: () => isReader,
      toldEndpointsAgeMilliseconds: () => toldAge(clock.now() - startedAt),
    },
    new AbortController().signal,
  ).then(() => (endedAt = clock.now()));
  await clock.advance(60_000);
  await waited;
  return endedAt - startedAt;
}

describe('gatherEndpoints', () => {
  it('lets a gateway that reads for all read on soon', async () => {
    assert.ok((await measureWait(true, () => 0)) <= 200);
  });

  it('lets the others read a few times less', async () => {
    const wait = await measureWait(false, () => 300);
    assert.ok(wait >= DRAIN_MILLISECONDS, `${wait}`);
  });

  it('reads at once when no reader is heard', async () => {
    const wait = await measureWait(false, () => Number.POSITIVE_INFINITY);
    assert.ok(wait <= 200, `${wait}`);
  });

  it('reads within the draining bound after readers fell silent', async () => {
    const silentFrom = 1_000;
    const wait = await measureWait(false, now => Math.max(0, now - silentFrom));
    assert.ok(wait - silentFrom < DRAIN_MILLISECONDS, `${wait}`);
    assert.ok(wait > silentFrom, `${wait}`);
  });
});
