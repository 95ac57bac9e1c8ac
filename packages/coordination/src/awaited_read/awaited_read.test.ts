/**
 * Tests the wait for a read: guards against a machine that was out of step and
 * takes what it read before for what is true now.
 */
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {StalenessTracker} from '../staleness_tracker/staleness_tracker.js';
import {VirtualClock} from '../virtual_clock/virtual_clock.js';
import {AwaitedRead} from './awaited_read.js';

const TIMEOUT_MILLISECONDS = 1_000;

describe('AwaitedRead', () => {
  let clock: VirtualClock;
  let suspendedMilliseconds: number;
  let awaitedRead: AwaitedRead;

  beforeEach(() => {
    clock = new VirtualClock();
    suspendedMilliseconds = 0;
    const time = new StalenessTracker({
      monotonicMilliseconds: () => clock.now(),
      wallClockMilliseconds: () => clock.now() + suspendedMilliseconds,
    });
    awaitedRead = new AwaitedRead({clock, time});
  });

  it('ends with a read that was sent after it began', async () => {
    const isCurrent = awaitedRead.wait(TIMEOUT_MILLISECONDS);
    assert.equal(awaitedRead.isAwaited, true);
    awaitedRead.recordReadStart()(0);
    assert.equal(await isCurrent, true);
    assert.equal(awaitedRead.isAwaited, false);
  });

  it('does not end with a read that was sent before', async () => {
    const confirm = awaitedRead.recordReadStart();
    await clock.advance(10);
    const isCurrent = awaitedRead.wait(TIMEOUT_MILLISECONDS);
    confirm(0);
    await clock.advance(TIMEOUT_MILLISECONDS);
    assert.equal(await isCurrent, false);
    assert.equal(awaitedRead.isAwaited, false);
  });

  it('ends with a read that waited at the store for longer', async () => {
    const confirm = awaitedRead.recordReadStart();
    await clock.advance(10);
    const isCurrent = awaitedRead.wait(TIMEOUT_MILLISECONDS);
    await clock.advance(500);
    confirm(500);
    assert.equal(await isCurrent, true);
  });

  it('does not end with a read that waited while the machine was suspended', async () => {
    const confirm = awaitedRead.recordReadStart();
    await clock.advance(100);
    suspendedMilliseconds = 9_000;
    const isCurrent = awaitedRead.wait(TIMEOUT_MILLISECONDS);
    confirm(2_000);
    await clock.advance(TIMEOUT_MILLISECONDS);
    assert.equal(await isCurrent, false);
  });
});
