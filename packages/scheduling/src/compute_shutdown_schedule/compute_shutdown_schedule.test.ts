/**
 * Tests that the steps of a shutdown come in order and before its end by force.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import fc from 'fast-check';

import {computeShutdownSchedule} from './compute_shutdown_schedule.js';

describe('computeShutdownSchedule', () => {
  it('waits for the deregistration and ends shortly before the grace period', () => {
    assert.deepEqual(
      computeShutdownSchedule({
        graceMilliseconds: 8_000,
        latenessMilliseconds: 0,
      }),
      {
        deregisteredMilliseconds: 3_000,
        stopListeningMilliseconds: 7_000,
        answerMilliseconds: 7_500,
        closeMilliseconds: 7_850,
      },
    );
  });

  it('answers and ends earlier when timers are late', () => {
    const schedule = computeShutdownSchedule({
      graceMilliseconds: 8_000,
      latenessMilliseconds: 200,
    });
    assert.equal(schedule.answerMilliseconds, 6_700);
    assert.equal(schedule.closeMilliseconds, 7_450);
  });

  it('keeps its steps in order for every grace period and lateness', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 100, max: 60_000}),
        fc.integer({min: 0, max: 60_000}),
        (graceMilliseconds, latenessMilliseconds) => {
          const {
            deregisteredMilliseconds,
            stopListeningMilliseconds,
            answerMilliseconds,
            closeMilliseconds,
          } = computeShutdownSchedule({
            graceMilliseconds,
            latenessMilliseconds,
          });
          assert.ok(deregisteredMilliseconds > 0);
          assert.ok(deregisteredMilliseconds < stopListeningMilliseconds);
          assert.ok(stopListeningMilliseconds < answerMilliseconds);
          assert.ok(answerMilliseconds < closeMilliseconds);
          assert.ok(closeMilliseconds < graceMilliseconds);
        },
      ),
    );
  });
});
