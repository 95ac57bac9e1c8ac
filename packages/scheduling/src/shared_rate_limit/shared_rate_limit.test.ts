/**
 * Tests of the shared rate limit in virtual time: guards against processes that
 * each use the whole rate, and against a rate that is not used.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {SharedRateLimit} from './shared_rate_limit.js';

const DURATION_MILLISECONDS = 60_000;
const STEP_MILLISECONDS = 5;
const WINDOW_MILLISECONDS = 4_000;

interface Scenario {
  readonly processes: number;
  readonly requestsPerSecond: number;
  /** Requests per second that callers send to each process. */
  readonly demandPerSecond: number;
  /** Time until the other processes hear of a request. */
  readonly reportMilliseconds: number;
}

/** Plays a scenario and returns the times of the admitted requests. */
function play(scenario: Scenario): number[] {
  const {processes, requestsPerSecond, demandPerSecond, reportMilliseconds} =
    scenario;
  let now = 0;
  let seed = 1;
  const random = () => (seed = (seed * 16_807) % 2_147_483_647) / 2_147_483_647;
  const limits = Array.from(
    {length: processes},
    () => new SharedRateLimit({requestsPerSecond, now: () => now, random}),
  );
  const admitted: number[] = [];
  const reports: Array<{at: number; sender: number}> = [];
  for (; now < DURATION_MILLISECONDS; now += STEP_MILLISECONDS) {
    while ((reports[0]?.at ?? Number.POSITIVE_INFINITY) <= now) {
      const sender = reports.shift()?.sender;
      limits.forEach((limit, index) => index !== sender && limit.charge(1));
    }
    limits.forEach((limit, sender) => {
      const arrives = random() < (demandPerSecond * STEP_MILLISECONDS) / 1_000;
      if (arrives && limit.hasCapacity()) {
        limit.charge(1);
        admitted.push(now);
        reports.push({at: now + reportMilliseconds, sender});
      }
    });
  }
  return admitted;
}

function countMost(times: readonly number[]): number {
  const counts = times.map(
    start =>
      times.filter(at => at >= start && at < start + WINDOW_MILLISECONDS)
        .length,
  );
  return Math.max(0, ...counts);
}

describe('SharedRateLimit', () => {
  const scenarios: readonly Scenario[] = [
    {processes: 1, requestsPerSecond: 2, demandPerSecond: 40},
    {processes: 4, requestsPerSecond: 2, demandPerSecond: 10},
    {processes: 29, requestsPerSecond: 2, demandPerSecond: 5},
    {processes: 4, requestsPerSecond: 0.4, demandPerSecond: 10},
    {processes: 29, requestsPerSecond: 40, demandPerSecond: 5},
  ].map(scenario => ({...scenario, reportMilliseconds: 25}));

  for (const scenario of scenarios) {
    const {processes, requestsPerSecond: rate} = scenario;
    it(`holds and uses ${rate} requests a second over ${processes} processes`, () => {
      const admitted = play(scenario);
      const allowed = 1.5 * rate * (WINDOW_MILLISECONDS / 1_000) + 5;
      const most = countMost(admitted);
      assert.ok(most <= allowed, `${most} in 4 s, allowed ${allowed}`);
      const expected = 0.9 * rate * (DURATION_MILLISECONDS / 1_000);
      assert.ok(admitted.length >= expected, `${admitted.length} admitted`);
    });
  }

  it('lets all of a demand below the rate pass after the first second', () => {
    const demand = {processes: 4, requestsPerSecond: 20, demandPerSecond: 2};
    const admitted = play({...demand, reportMilliseconds: 25});
    const demanded = 8 * (DURATION_MILLISECONDS / 1_000);
    assert.ok(admitted.length >= 0.9 * demanded, `${admitted.length} admitted`);
  });

  it('admits a request now and then at a limit of 0', () => {
    const admitted = play({
      processes: 4,
      requestsPerSecond: 0,
      demandPerSecond: 10,
      reportMilliseconds: 25,
    });
    assert.ok(admitted.length >= 1);
    assert.ok(countMost(admitted) <= 5);
  });
});
