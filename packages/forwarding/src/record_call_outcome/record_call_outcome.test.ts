/**
 * Tests what a call records about its endpoint.
 *
 * Guards against an endpoint that receives less work because it gave up on a
 * response that this gateway had paused, or because the pause counts as its own
 * time.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {recordCallOutcome, type CallOutcome} from './record_call_outcome.js';

function record(outcome: Omit<CallOutcome, 'milliseconds'>): unknown[] {
  const recorded: unknown[] = [];
  const recordOutcome = (...values: unknown[]) => void recorded.push(...values);
  const endpoint = {id: 'desk-0', slots: 6};
  recordCallOutcome({recordOutcome}, endpoint, {...outcome, milliseconds: 20});
  return recorded;
}

describe('recordCallOutcome', () => {
  it('records a success with its time', () => {
    const expected = ['desk-0', false, 20, 6];
    assert.deepEqual(
      record({failed: false, isWhole: true, wasPaused: false}),
      expected,
    );
  });

  it('records a failure without a time', () => {
    const expected = ['desk-0', true, undefined, 6];
    assert.deepEqual(
      record({failed: true, isWhole: false, wasPaused: false}),
      expected,
    );
  });

  it('does not record a failure after a pause', () => {
    assert.deepEqual(
      record({failed: true, isWhole: false, wasPaused: true}),
      [],
    );
  });

  it('records no time of a success after a pause', () => {
    const expected = ['desk-0', false, undefined, 6];
    assert.deepEqual(
      record({failed: false, isWhole: true, wasPaused: true}),
      expected,
    );
  });

  it('records a whole failure response after a pause', () => {
    const expected = ['desk-0', true, undefined, 6];
    assert.deepEqual(
      record({failed: true, isWhole: true, wasPaused: true}),
      expected,
    );
  });
});
