/**
 * Tests the steps of a shutdown while timers are late.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {Shutdown} from './shutdown.js';

const GRACE_MILLISECONDS = 8_000;

/** Time after which one timer is late; its end is past the answers. */
const PAUSE_STARTS_MILLISECONDS = 5_780;

/** Lateness of that timer. */
const LATENESS_MILLISECONDS = 600;

describe('Shutdown', () => {
  it('does not take requests again after the time of the answers', async () => {
    let now = 0;
    let wasLate = false;
    const shutdown = new Shutdown({
      now: () => now,
      sleep: milliseconds => {
        const isLate = !wasLate && now >= PAUSE_STARTS_MILLISECONDS;
        wasLate ||= isLate;
        now += milliseconds + (isLate ? LATENESS_MILLISECONDS : 0);
        return Promise.resolve();
      },
    });
    shutdown.begin({graceMilliseconds: GRACE_MILLISECONDS, askedAt: now});
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
});
