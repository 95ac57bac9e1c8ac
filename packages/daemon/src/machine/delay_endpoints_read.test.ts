/**
 * Tests of the delay between two reads of the endpoints. They guard against
 * excess load when every gateway reads at the rate of a reader, and against
 * stale endpoints when the reports of the readers are missing or stop.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {VirtualClock} from '@briarpin/coordination';

import {delayEndpointsRead} from './delay_endpoints_read.js';

const DRAIN_MILLISECONDS = 4_000;

/**
 * Measures the delay, in milliseconds.
 *
 * @param isReader - Whether the gateway reads on behalf of all
 * @param computeReceivedAge - Returns the age of the received endpoints at a
 *     time since the start of the delay
 * @param awaitedFrom - Time from which on a request waits for the read
 */
async function measureWait(
  isReader: boolean,
  computeReceivedAge: (now: number) => number,
  awaitedFrom = Number.POSITIVE_INFINITY,
): Promise<number> {
  const clock = new VirtualClock();
  const startedAt = clock.now();
  let endedAt = Number.POSITIVE_INFINITY;
  const waited = delayEndpointsRead(
    {
      clock,
      bounds: {drainMilliseconds: DRAIN_MILLISECONDS},
      isReader: () => isReader,
      receivedEndpointsAgeMilliseconds: () =>
        computeReceivedAge(clock.now() - startedAt),
      isReadAwaited: () => clock.now() - startedAt >= awaitedFrom,
    },
    new AbortController().signal,
  ).then(() => (endedAt = clock.now()));
  await clock.advance(60_000);
  await waited;
  return endedAt - startedAt;
}

describe('delayEndpointsRead', () => {
  it('delays a reader only briefly', async () => {
    assert.ok((await measureWait(true, () => 0)) <= 200);
  });

  it('delays a follower with fresh endpoints by at least the draining bound', async () => {
    const wait = await measureWait(false, () => 300);
    assert.ok(wait >= DRAIN_MILLISECONDS, `${wait}`);
  });

  it('delays a follower only briefly when no reader has reported', async () => {
    const wait = await measureWait(false, () => Number.POSITIVE_INFINITY);
    assert.ok(wait <= 200, `${wait}`);
  });

  it('reads soon when a request waits for it', async () => {
    const wait = await measureWait(false, () => 300, 1_000);
    assert.ok(wait >= 1_000 && wait <= 1_300, `${wait}`);
  });

  it('reads within the draining bound after reports from readers stop', async () => {
    const reportsStopAt = 1_000;
    const wait = await measureWait(false, now =>
      Math.max(0, now - reportsStopAt),
    );
    assert.ok(wait - reportsStopAt < DRAIN_MILLISECONDS, `${wait}`);
    assert.ok(wait > reportsStopAt, `${wait}`);
  });
});
