/**
 * Tests the detection of pauses of the process.
 */
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';

import {PauseDetector} from './pause_detector.js';

describe('PauseDetector', () => {
  let now: number;
  let detector: PauseDetector;

  beforeEach(() => {
    mock.timers.enable({apis: ['setInterval']});
    now = 0;
    detector = new PauseDetector(() => now);
  });

  afterEach(() => {
    detector.stop();
    mock.timers.reset();
  });

  const runFor = (milliseconds: number) => {
    for (let passed = 0; passed < milliseconds; passed += 100) {
      now += 100;
      mock.timers.tick(100);
    }
  };

  it('finds that an event has just occurred while the process runs', () => {
    runFor(1_000);
    now += 60;
    assert.equal(detector.earliestEventAt, 1_060);
  });

  it('finds that an event may be as old as a pause before its next tick', () => {
    runFor(1_000);
    now += 2_000;
    assert.equal(detector.earliestEventAt, 1_000);
  });

  it('finds that an event may be as old as a pause after its next tick', () => {
    runFor(1_000);
    now += 2_000;
    mock.timers.tick(100);
    now += 10;
    assert.equal(detector.earliestEventAt, 1_000);
  });

  it('forgets a pause once its events are handled', () => {
    runFor(1_000);
    now += 2_000;
    mock.timers.tick(100);
    now += 60;
    assert.equal(detector.earliestEventAt, 3_060);
  });
});
