/**
 * Tests of the admission before the engines, in virtual time against a small
 * model of engines.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {AdmissionRequest} from '../admission_lane/admission_lane.js';
import {
  ModelEngine,
  PREFILL_MILLISECONDS_PER_TOKEN,
} from './simulated_engines.js';
import {
  simulateAdmission,
  type Policy,
  type SimulatedResult,
} from './simulate_admission.js';

const LONG = {promptTokens: 3_000, outputTokens: 748};
const SHORT = {promptTokens: 2_200, outputTokens: 8};

let createdCount = 0;

function createRequest(
  overrides: Partial<AdmissionRequest> = {},
): AdmissionRequest {
  createdCount += 1;
  const request = {
    id: `r${createdCount}`,
    lane: '',
    organisation: 'north',
    weight: 1,
    priority: 2,
    ...LONG,
    prefillMilliseconds: 0,
    runMilliseconds: 8_000,
    arrivedAt: 0,
    targetLatencyMilliseconds: 4_000,
    ...overrides,
  };
  const {arrivedAt, promptTokens} = request;
  return {
    expiresAt: arrivedAt + 39_000,
    ...request,
    prefillMilliseconds: promptTokens * PREFILL_MILLISECONDS_PER_TOKEN,
  };
}

function createUrgent(
  overrides: Partial<AdmissionRequest> = {},
): AdmissionRequest {
  const arrivedAt = overrides.arrivedAt ?? 0;
  return createRequest({
    priority: 0,
    ...SHORT,
    runMilliseconds: 500,
    targetLatencyMilliseconds: 1_500,
    expiresAt: arrivedAt + 6_000,
    ...overrides,
  });
}

/** Creates requests at a constant rate. */
function createStream(
  create: (overrides: Partial<AdmissionRequest>) => AdmissionRequest,
  {from, to, perSecond}: {from: number; to: number; perSecond: number},
  overrides: Partial<AdmissionRequest> = {},
): AdmissionRequest[] {
  const requests: AdmissionRequest[] = [];
  for (let at = from; at < to; at += 1_000 / perSecond) {
    requests.push(create({...overrides, arrivedAt: at}));
  }
  return requests;
}

function createEngines(count: number): ModelEngine[] {
  return Array.from(
    {length: count},
    (_, index) => new ModelEngine(`e${index}`),
  );
}

/** Creates a reproducible source of random numbers. */
function createRandom(): () => number {
  let state = 1;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

function isOnTime({request, run}: SimulatedResult): boolean {
  const latestAt = request.arrivedAt + request.targetLatencyMilliseconds;
  return run?.firstEventAt !== undefined && run.firstEventAt <= latestAt;
}

/** Summarises what the callers got. */
function summarise(results: ReadonlyMap<string, SimulatedResult>) {
  const all = [...results.values()];
  const urgent = all.filter(({request}) => request.priority === 0);
  const long = all.filter(({request}) => request.priority !== 0);
  const share = (list: SimulatedResult[]) =>
    list.filter(isOnTime).length / Math.max(1, list.length);
  return {
    urgentOnTime: share(urgent),
    longOnTime: share(long),
    preemptions: all.reduce((sum, {run}) => sum + (run?.preemptions ?? 0), 0),
    served: all.filter(({run}) => run?.endedAt !== undefined).length,
    rejected: all.filter(({rejectedAt}) => rejectedAt !== undefined).length,
    count: all.length,
  };
}

describe('EngineAdmission', () => {
  describe('load: a burst of long generations beside urgent short ones', () => {
    const runBurst = (policy: Policy) => {
      const requests = [
        ...createStream(createRequest, {from: 0, to: 9_000, perSecond: 2.4}),
        ...createStream(createRequest, {
          from: 9_000,
          to: 15_000,
          perSecond: 6.5,
        }),
        ...createStream(createRequest, {
          from: 15_000,
          to: 30_000,
          perSecond: 2.4,
        }),
        ...createStream(createUrgent, {from: 0, to: 30_000, perSecond: 4.8}),
      ];
      return summarise(
        simulateAdmission({
          policy,
          engines: createEngines(6),
          requests,
          durationMilliseconds: 60_000,
          random: createRandom(),
        }),
      );
    };

    it('keeps urgent requests on time and avoids preemptions', t => {
      const queued = runBurst('queue');
      const atOnce = runBurst('at_once');
      const firstCome = runBurst('first_come');
      t.diagnostic(JSON.stringify({queued, atOnce, firstCome}));
      assert.ok(queued.urgentOnTime >= 0.99, 'urgent requests are late');
      assert.ok(queued.urgentOnTime >= firstCome.urgentOnTime);
      assert.ok(queued.urgentOnTime >= atOnce.urgentOnTime);
      assert.ok(queued.longOnTime >= atOnce.longOnTime);
      assert.ok(queued.preemptions <= atOnce.preemptions);
      assert.equal(queued.preemptions, 0, 'preempted although it waited');
      assert.equal(
        queued.rejected,
        0,
        'rejected although it would fit in time',
      );
    });
  });
});
