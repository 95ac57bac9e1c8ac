/**
 * Tests of the age of the data. Guards against an age that is underestimated
 * after a machine suspension, a late response or a clock adjustment.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {StalenessTracker} from './staleness_tracker.js';

function createTracker() {
  const times = {monotonic: 1_000, wall: 500_000};
  const tracker = new StalenessTracker({
    monotonicMilliseconds: () => times.monotonic,
    wallClockMilliseconds: () => times.wall,
  });
  const advance = (milliseconds: number) => {
    times.monotonic += milliseconds;
    times.wall += milliseconds;
  };
  return {tracker, times, advance};
}

describe('StalenessTracker', () => {
  it('reports an infinite age before the first response', () => {
    assert.equal(
      createTracker().tracker.ageMilliseconds(),
      Number.POSITIVE_INFINITY,
    );
  });

  it('measures the age from the start of a read, not its response', () => {
    const {tracker, advance} = createTracker();
    const startTime = tracker.readTime();
    advance(700);
    tracker.confirm(startTime);
    assert.equal(tracker.ageMilliseconds(), 700);
  });

  it('does not increase the age when an older read completes late', () => {
    const {tracker, advance} = createTracker();
    const firstReadTime = tracker.readTime();
    advance(100);
    tracker.confirm(tracker.readTime());
    tracker.confirm(firstReadTime);
    assert.equal(tracker.ageMilliseconds(), 0);
  });

  describe('when the machine was suspended', () => {
    it('adds the time that the monotonic clock did not count', () => {
      const {tracker, times, advance} = createTracker();
      tracker.confirm(tracker.readTime());
      advance(10);
      times.wall += 6_000;
      assert.equal(tracker.ageMilliseconds(), 6_010);
    });

    it('adds the suspension to reads that were started before it', () => {
      const {tracker, times} = createTracker();
      const startTime = tracker.readTime();
      times.wall += 6_000;
      tracker.confirm(startTime);
      assert.equal(tracker.ageMilliseconds(), 6_000);
    });

    it('resets the age after the next response', () => {
      const {tracker, times} = createTracker();
      tracker.confirm(tracker.readTime());
      times.wall += 6_000;
      tracker.confirm(tracker.readTime());
      assert.equal(tracker.ageMilliseconds(), 0);
    });
  });

  describe('when the wall clock is adjusted', () => {
    it('does not decrease the age after a backward step', () => {
      const {tracker, times, advance} = createTracker();
      tracker.confirm(tracker.readTime());
      advance(300);
      times.wall -= 10_000;
      assert.equal(tracker.ageMilliseconds(), 300);
    });

    it('ignores clock slewing', () => {
      const {tracker, times, advance} = createTracker();
      tracker.confirm(tracker.readTime());
      advance(100);
      times.wall += 20;
      assert.equal(tracker.ageMilliseconds(), 100);
    });
  });
});
