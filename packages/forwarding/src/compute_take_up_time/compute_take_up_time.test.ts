/**
 * Tests how long streams may be taken up: guards against a history of software
 * versions that is shorter than callers are patient.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {computeTakeUpTime} from './compute_take_up_time.js';

describe('computeTakeUpTime', () => {
  it('outlasts a caller that has little of its deadline left', () => {
    const milliseconds = computeTakeUpTime(
      {timeoutMilliseconds: 6_000},
      {deadlineMilliseconds: 1_000},
    );
    assert.ok(milliseconds >= 39_000, `${milliseconds} ms`);
  });

  it('grows with the timeout of the route and with the deadline', () => {
    const compute = (
      timeoutMilliseconds: number,
      deadlineMilliseconds?: number,
    ) => computeTakeUpTime({timeoutMilliseconds}, {deadlineMilliseconds});
    assert.equal(compute(39_000) - compute(6_000), 33_000);
    assert.equal(compute(6_000, 39_000), compute(39_000, 6_000));
  });
});
