/**
 * Tests the estimated duration of runs. Guards against requests that are rejected
 * as hopeless because short or broken runs made the estimate too long.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {RunTimes} from './run_times.js';

describe('RunTimes', () => {
  it('scales the mean of a route by the expected output', () => {
    const times = new RunTimes();
    times.record('guide', 100, 1_000);
    assert.equal(times.estimate('guide', 200), 2_000);
    times.record('guide', 100, 2_000);
    assert.equal(times.estimate('guide', 100), 1_100);
    assert.equal(times.estimate('digest', 100), 0);
  });

  it('counts a run that broke after its first event by its few tokens', () => {
    const times = new RunTimes();
    times.record('guide', 748, 6_000);
    times.record('guide', 4, 1_500);
    const estimate = times.estimate('guide', 748);
    assert.ok(estimate < 7_000, `${estimate}`);
  });

  it('keeps the mean of a call as it is', () => {
    const times = new RunTimes();
    times.record('refund', 0, 60);
    assert.equal(times.estimate('refund', 0), 60);
  });

  it('keeps a bounded number of routes', () => {
    const times = new RunTimes();
    for (let index = 0; index < 300; index += 1) {
      times.record(`route-${index}`, 1, 10);
    }
    assert.equal(times.estimate('route-0', 1), 0);
    assert.equal(times.estimate('route-299', 1), 10);
  });
});
