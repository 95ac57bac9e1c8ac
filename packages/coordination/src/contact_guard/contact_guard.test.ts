/**
 * Tests of the age of what is known.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {ContactGuard} from './contact_guard.js';

function createGuard() {
  const times = {steady: 1_000, wall: 500_000};
  const guard = new ContactGuard({
    steadyMilliseconds: () => times.steady,
    wallMilliseconds: () => times.wall,
  });
  const pass = (milliseconds: number) => {
    times.steady += milliseconds;
    times.wall += milliseconds;
  };
  return {guard, times, pass};
}

describe('ContactGuard', () => {
  it('knows nothing before the first answer', () => {
    assert.equal(
      createGuard().guard.ageMilliseconds(),
      Number.POSITIVE_INFINITY,
    );
  });

  it('counts from the sending of the read, not from its answer', () => {
    const {guard, pass} = createGuard();
    const sentAt = guard.mark();
    pass(700);
    guard.confirm(sentAt);
    assert.equal(guard.ageMilliseconds(), 700);
  });

  it('is not made older by an answer that comes late', () => {
    const {guard, pass} = createGuard();
    const first = guard.mark();
    pass(100);
    guard.confirm(guard.mark());
    guard.confirm(first);
    assert.equal(guard.ageMilliseconds(), 0);
  });

  describe('when the machine was suspended', () => {
    it('adds what the steady clock has missed', () => {
      const {guard, times, pass} = createGuard();
      guard.confirm(guard.mark());
      pass(10);
      times.wall += 6_000;
      assert.equal(guard.ageMilliseconds(), 6_010);
    });

    it('adds it to reads that were sent before', () => {
      const {guard, times} = createGuard();
      const sentAt = guard.mark();
      times.wall += 6_000;
      guard.confirm(sentAt);
      assert.equal(guard.ageMilliseconds(), 6_000);
    });

    it('is fresh again after the next answer', () => {
      const {guard, times} = createGuard();
      guard.confirm(guard.mark());
      times.wall += 6_000;
      guard.confirm(guard.mark());
      assert.equal(guard.ageMilliseconds(), 0);
    });
  });

  describe('when the time of day is set', () => {
    it('is not made younger by a step back', () => {
      const {guard, times, pass} = createGuard();
      guard.confirm(guard.mark());
      pass(300);
      times.wall -= 10_000;
      assert.equal(guard.ageMilliseconds(), 300);
    });

    it('ignores the slewing of a clock', () => {
      const {guard, times, pass} = createGuard();
      guard.confirm(guard.mark());
      pass(100);
      times.wall += 20;
      assert.equal(guard.ageMilliseconds(), 100);
    });
  });
});
