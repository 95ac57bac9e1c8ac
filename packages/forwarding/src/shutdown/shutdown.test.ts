/**
 * Tests the steps of a shutdown while timers are late.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {Shutdown} from './shutdown.js';

const GRACE_MILLISECONDS = 8_000;

/** Time after which timers are late; the end of one is past the answers. */
const PAUSES_START_MILLISECONDS = 5_780;

/** Lateness of such a timer. */
const LATENESS_MILLISECONDS = 600;

/** A shutdown on a clock of which some timers are late. */
function createShutdown({
  lateTimers,
  lateFrom,
  latenessMilliseconds,
}: {
  lateTimers: number;
  lateFrom: number;
  latenessMilliseconds: number;
}): Shutdown {
  let now = 0;
  let lateCount = 0;
  const shutdown = new Shutdown({
    now: () => now,
    sleep: milliseconds => {
      const isLate = lateCount < lateTimers && now >= lateFrom;
      lateCount += isLate ? 1 : 0;
      now += milliseconds + (isLate ? latenessMilliseconds : 0);
      return Promise.resolve();
    },
  });
  shutdown.begin({graceMilliseconds: GRACE_MILLISECONDS, askedAt: now});
  return shutdown;
}

describe('Shutdown', () => {
  for (const lateTimers of [1, 2, 3]) {
    it(`takes no requests after the time of the answers, ${lateTimers} timers late`, async () => {
      const shutdown = createShutdown({
        lateTimers,
        lateFrom: PAUSES_START_MILLISECONDS,
        latenessMilliseconds: LATENESS_MILLISECONDS,
      });
      await shutdown.waitUntil(() => shutdown.remainingAnswerMilliseconds);
      const remaining: number[] = [];
      await shutdown.waitUntil(
        () => shutdown.remainingProcessMilliseconds,
        () => {
          remaining.push(shutdown.remainingAnswerMilliseconds);
          return false;
        },
      );
      assert.ok(remaining.length > 0);
      assert.equal(Math.max(0, ...remaining), 0);
    });
  }

  it('keeps the time of the answers after one long pause', async () => {
    const shutdown = createShutdown({
      lateTimers: 1,
      lateFrom: 100,
      latenessMilliseconds: 0.47 * GRACE_MILLISECONDS,
    });
    const before = shutdown.remainingAnswerMilliseconds;
    await shutdown.waitUntil(() => 4_000 - (shutdown.elapsedMilliseconds ?? 0));
    const elapsed = shutdown.elapsedMilliseconds ?? 0;
    assert.equal(shutdown.remainingAnswerMilliseconds, before - elapsed);
  });

  it('ends earlier while timers are late again and again', async () => {
    const shutdown = createShutdown({
      lateTimers: Number.POSITIVE_INFINITY,
      lateFrom: 0,
      latenessMilliseconds: 200,
    });
    const before = shutdown.remainingAnswerMilliseconds;
    await shutdown.waitUntil(() => 2_000 - (shutdown.elapsedMilliseconds ?? 0));
    const elapsed = shutdown.elapsedMilliseconds ?? 0;
    const earlier = before - elapsed - shutdown.remainingAnswerMilliseconds;
    assert.ok(earlier > 350 && earlier <= 400, String(earlier));
  });
});
