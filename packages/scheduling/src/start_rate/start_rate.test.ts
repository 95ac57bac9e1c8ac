/**
 * Tests the prediction of waits. Guards against waits that are predicted from
 * the demand of a quiet time.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {StartRate} from './start_rate.js';

describe('StartRate', () => {
  it('predicts the wait from the starts while requests wait', () => {
    const rate = new StartRate();
    rate.observe(true, 0);
    for (let now = 1_000; now <= 4_000; now += 1_000) {
      rate.observe(true, now);
      rate.recordStart(1_000);
    }
    const predicted = rate.predictMilliseconds(10_000, 1_000);
    assert.ok(predicted > 6_000 && predicted < 10_000, `${predicted}`);
  });

  it('predicts nothing until it has observed long enough', () => {
    const rate = new StartRate();
    rate.observe(true, 0);
    rate.observe(true, 1_400);
    assert.equal(rate.predictMilliseconds(1_000_000, 1_000), 0);
  });

  it('does not count the time without waiting requests', () => {
    const rate = new StartRate();
    rate.observe(false, 0);
    rate.observe(false, 600_000);
    assert.equal(rate.predictMilliseconds(1_000_000, 1_000), 0);
  });

  it('does not count starts while no request waited', () => {
    const rate = new StartRate();
    for (let now = 0; now < 60_000; now += 100) {
      rate.observe(false, now);
      // The review that follows the arrival of a request, at the same time.
      rate.observe(true, now);
      rate.recordStart(3_000);
    }
    rate.observe(false, 60_000);
    rate.observe(true, 62_000);
    rate.recordStart(2_000);
    const predicted = rate.predictMilliseconds(10_000, 1_000);
    assert.ok(predicted > 5_000 && predicted < 10_000, `${predicted}`);
  });

  it('predicts longer waits when nothing starts', () => {
    const rate = new StartRate();
    rate.observe(true, 0);
    rate.observe(true, 2_000);
    rate.recordStart(4_000);
    const before = rate.predictMilliseconds(4_000, 1_000);
    rate.observe(true, 6_000);
    assert.ok(rate.predictMilliseconds(4_000, 1_000) > 2 * before);
  });
});
