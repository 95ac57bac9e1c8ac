/**
 * Tests the estimate of an endpoint's pace: guards against estimates that follow
 * short slow phases or single faults, and against ones that outlive their
 * samples. Each test names its load.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {PaceEstimator, type PaceContext} from './pace_estimator.js';

const NOTHING: PaceContext = {
  reportedMilliseconds: [],
  meanMilliseconds: undefined,
};

function createEstimator() {
  const time = {now: 0};
  const estimator = new PaceEstimator({now: () => time.now});
  const record = (milliseconds: number, slowdown = 1) =>
    estimator.recordSample({milliseconds, slowdown});
  /** Records the events of a stream for a time. */
  const stream = (duration: number, gapAt: (now: number) => number): void => {
    const end = time.now + duration;
    while (time.now < end) {
      const gap = gapAt(time.now);
      time.now += gap;
      record(gap);
    }
  };
  const estimate = (context = NOTHING) =>
    estimator.estimate(context) ?? Number.NaN;
  return {estimator, time, record, stream, estimate};
}

describe('PaceEstimator', () => {
  describe('own samples', () => {
    it('knows nothing without samples', () => {
      const {estimator} = createEstimator();
      assert.equal(estimator.estimate(NOTHING), undefined);
      assert.equal(estimator.computeOwnMilliseconds(), undefined);
    });

    it('stays within 15% of the usual time in slow phases of 2.5 for 15% of the time', () => {
      const {stream, estimate} = createEstimator();
      const isSlow = (now: number) => now % 667 < 100;
      for (let second = 0; second < 20; second += 1) {
        stream(1_000, now => (isSlow(now) ? 75 : 30));
        assert.ok(Math.abs(estimate() - 30) < 4.5, `${estimate()}`);
      }
    });

    it('follows an endpoint that turns slow within 1.5 seconds', () => {
      const {stream, estimate} = createEstimator();
      stream(3_000, () => 30);
      stream(1_500, () => 75);
      assert.ok(estimate() > 70, `${estimate()}`);
    });

    it('averages events that arrive together', () => {
      const {record, estimate, time} = createEstimator();
      for (let index = 0; index < 10; index += 1) {
        time.now += 120;
        [120, 0, 0, 0].forEach(gap => record(gap));
      }
      assert.equal(estimate(), 30);
    });

    it('removes the slowdown by the load of the endpoint', () => {
      const {record, estimate} = createEstimator();
      record(45, 1.5);
      assert.equal(estimate(), 30);
    });

    it('ignores absurd samples, and a pause of 9 s of the gateway within 0.4 s', () => {
      const {record, stream, estimate} = createEstimator();
      stream(2_000, () => 30);
      [Number.NaN, -5, Number.POSITIVE_INFINITY, 1e9].forEach(absurd =>
        record(absurd),
      );
      stream(9_000, () => 9_000);
      stream(400, () => 30);
      assert.ok(estimate() < 40, `${estimate()}`);
    });
  });

  describe('stated pace', () => {
    it('scales a sample of 30 ms stated with 250 to 12 ms', () => {
      const {estimator, record, estimate} = createEstimator();
      estimator.recordStatedPace(250);
      record(30);
      assert.equal(estimate(), 12);
    });

    it('ignores implausible figures', () => {
      for (const percent of [0, 19, 2_001, -250, Number.NaN]) {
        const {estimator, record, estimate} = createEstimator();
        estimator.recordStatedPace(percent);
        record(30);
        assert.equal(estimate(), 30, `${percent}`);
      }
    });

    it('does not scale samples that end long after the figure', () => {
      const {estimator, record, estimate, time} = createEstimator();
      estimator.recordStatedPace(250);
      time.now = 500;
      record(30);
      assert.equal(estimate(), 30);
    });

    it('does not scale by a figure that an endpoint states all the time', () => {
      const {estimator, record, estimate, time} = createEstimator();
      for (let index = 0; index < 40; index += 1) {
        time.now += 110;
        estimator.recordStatedPace(170);
        record(51);
      }
      assert.equal(estimate(), 51);
    });
  });

  describe('other knowledge', () => {
    it('decays to the mean of the service without samples', () => {
      const {stream, estimate, time} = createEstimator();
      stream(3_000, () => 60);
      const context = {reportedMilliseconds: [], meanMilliseconds: 30};
      assert.ok(estimate(context) > 50);
      time.now += 30_000;
      assert.ok(Math.abs(estimate(context) - 30) < 1);
    });

    it('does not report an estimate without recent samples', () => {
      const {estimator, record, time} = createEstimator();
      record(30);
      assert.equal(estimator.computeOwnMilliseconds(), 30);
      time.now = 5_000;
      assert.equal(estimator.computeOwnMilliseconds(), undefined);
    });

    it('follows the reports of several gateways, not an absurd one', () => {
      const {estimate} = createEstimator();
      const reportedMilliseconds = [50, 51, 49, 29_000, 0];
      const value = estimate({reportedMilliseconds, meanMilliseconds: 30});
      assert.ok(value > 45 && value < 51, `${value}`);
    });

    it('moves from the reports to many own samples', () => {
      const {stream, estimate} = createEstimator();
      const context = {
        reportedMilliseconds: [30, 30, 30],
        meanMilliseconds: 30,
      };
      stream(60, () => 60);
      assert.ok(estimate(context) < 40);
      stream(2_000, () => 60);
      assert.ok(estimate(context) > 53, `${estimate(context)}`);
    });
  });
});
