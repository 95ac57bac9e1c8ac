/**
 * Tests of the admission before the engines, in virtual time against a small
 * model of engines.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {AdmissionRequest} from '../admission_lane/admission_lane.js';
import type {EndpointState} from '../select_endpoint/select_endpoint.js';
import {EngineAdmission} from './engine_admission.js';
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
/** Time after which a caller that is rejected sends its request again. */
const ROUND_TRIP = 100;

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

/** A preemption stalls a run for longer than the target between two events. */
function isOnTime({request, run}: SimulatedResult): boolean {
  const latestAt = request.arrivedAt + request.targetLatencyMilliseconds;
  return (
    run?.firstEventAt !== undefined &&
    run.firstEventAt <= latestAt &&
    run.preemptions === 0
  );
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

  describe('load: one organisation floods', () => {
    it('gives the others at least 0.8 of their fair share', t => {
      const others = ['north', 'south', 'east'];
      const contendedFrom = 10_000;
      const requests = [
        ...createStream(
          createRequest,
          {from: 0, to: 60_000, perSecond: 12},
          {organisation: 'flood'},
        ),
        ...others.flatMap(organisation =>
          createStream(
            createRequest,
            {from: 0, to: 60_000, perSecond: 1.2},
            {organisation},
          ),
        ),
      ];
      const results = simulateAdmission({
        policy: 'queue',
        engines: createEngines(6),
        requests,
        durationMilliseconds: 60_000,
        random: createRandom(),
      });
      // Shares count from the time at which all memory is in use.
      const started = [...results.values()].filter(
        ({startedAt}) => (startedAt ?? 0) >= contendedFrom,
      );
      const countOf = (name: string) =>
        started.filter(({request}) => request.organisation === name).length;
      const fairShare = started.length / 4;
      const counts = others.map(countOf);
      t.diagnostic(
        JSON.stringify({counts, flood: countOf('flood'), fairShare}),
      );
      for (const name of others) {
        const wanted = requests.filter(
          ({organisation, arrivedAt}) =>
            organisation === name && arrivedAt >= contendedFrom,
        ).length;
        const fair = Math.min(wanted, fairShare);
        assert.ok(countOf(name) >= 0.8 * fair, `${name} got ${countOf(name)}`);
      }
    });

    it('counts what the flooding organisation got at other gateways', () => {
      const admission = new EngineAdmission<EndpointState>(() => 0.5);
      const full = {...new ModelEngine('e1').readState(), usedTokens: 27_000};
      const flood = createRequest({organisation: 'flood'});
      const north = createRequest({organisation: 'north', arrivedAt: 1});
      admission.charge('flood', 50_000, 0);
      admission.submit(flood, 1);
      admission.submit(north, 1);
      admission.review(1, () => [{...full, openRequests: 1}]);
      const free = {...full, usedTokens: 27_000 * 0.8 - 4_000, openRequests: 1};
      const {placements} = admission.review(2, () => [free]);
      assert.deepEqual(
        placements.map(({request}) => request.organisation),
        ['north'],
      );
    });
  });

  describe('load: long jobs that arrive together', () => {
    it('are spread, and wait at the gateway instead of being preempted', t => {
      const requests = Array.from({length: 60}, () => createRequest());
      const run = (policy: Policy) =>
        summarise(
          simulateAdmission({
            policy,
            engines: createEngines(6),
            requests,
            durationMilliseconds: 40_000,
            random: createRandom(),
          }),
        );
      const queued = run('queue');
      const atOnce = run('at_once');
      t.diagnostic(JSON.stringify({queued, atOnce}));
      assert.equal(queued.preemptions, 0);
      assert.equal(
        queued.served,
        60,
        'rejected or left although there is time',
      );
      assert.ok(atOnce.preemptions > 0, 'the load does not fill the memory');
    });

    it('start at once where engines are idle', () => {
      const requests = Array.from({length: 6}, () => createRequest());
      const results = simulateAdmission({
        policy: 'queue',
        engines: createEngines(6),
        requests,
        durationMilliseconds: 100,
        random: createRandom(),
      });
      for (const {startedAt} of results.values()) {
        assert.equal(startedAt, 0, 'waits while there is room');
      }
    });
  });

  describe('load: half of the engines are lost at the peak', () => {
    it('keeps urgent requests on time and rejects early what cannot end', t => {
      const requests = [
        ...createStream(createRequest, {from: 0, to: 40_000, perSecond: 3.2}),
        ...createStream(createUrgent, {from: 0, to: 40_000, perSecond: 4}),
      ];
      const results = simulateAdmission({
        policy: 'queue',
        engines: createEngines(6),
        requests,
        durationMilliseconds: 80_000,
        random: createRandom(),
        onStep: (now, {engines}) => {
          if (now === 10_000) {
            engines.splice(0, 3);
          }
        },
      });
      // Urgent requests that ran at a lost engine are not the queue's concern.
      const after = new Map(
        [...results].filter(([, {request}]) => request.arrivedAt > 10_000),
      );
      const summary = summarise(after);
      t.diagnostic(JSON.stringify(summary));
      assert.ok(summary.urgentOnTime >= 0.98);
      assert.equal(summary.preemptions, 0);
      for (const {request, rejectedAt, run} of after.values()) {
        const isDecided = run !== undefined || rejectedAt !== undefined;
        assert.ok(isDecided, `${request.id} was held until its deadline`);
        assert.ok((rejectedAt ?? 0) < request.expiresAt);
      }
    });
  });

  describe('load: callers that retry immediately', () => {
    it('serves as many as without retries and rejects a retry at once', t => {
      const requests = createStream(
        createRequest,
        {from: 0, to: 30_000, perSecond: 8},
        {targetLatencyMilliseconds: 2_000},
      ).map(request => ({...request, expiresAt: request.arrivedAt + 14_000}));
      const run = (retries: boolean) => {
        const retried = new Set<string>();
        return summarise(
          simulateAdmission({
            policy: 'queue',
            engines: createEngines(4),
            requests,
            durationMilliseconds: 30_000,
            random: createRandom(),
            onStep: (now, {add, results}) => {
              for (const {request, rejectedAt} of results.values()) {
                const returnsAt = (rejectedAt ?? Infinity) + ROUND_TRIP;
                if (retries && now >= returnsAt && !retried.has(request.id)) {
                  retried.add(request.id);
                  const timeout = request.expiresAt - request.arrivedAt;
                  add({
                    ...request,
                    id: `${request.id}+`,
                    arrivedAt: now,
                    expiresAt: now + timeout,
                  });
                }
              }
            },
          }),
        );
      };
      const once = run(false);
      const stormy = run(true);
      t.diagnostic(JSON.stringify({once, stormy}));
      assert.ok(once.rejected > 0, 'the load is no overload');
      assert.ok(stormy.served >= 0.95 * once.served);
      assert.equal(stormy.preemptions, 0);
    });
  });

  describe('order', () => {
    const busy = (usedTokens: number): EndpointState => ({
      ...new ModelEngine('e1').readState(),
      openRequests: 1,
      usedTokens,
    });

    it('lets a request that has missed its target give way to equals', () => {
      const admission = new EngineAdmission<EndpointState>(() => 0.5);
      admission.submit(createRequest({id: 'late'}), 0);
      admission.submit(createRequest({id: 'timely', arrivedAt: 3_900}), 3_900);
      admission.review(4_100, () => [busy(27_000)]);
      const {placements} = admission.review(4_120, () => [busy(18_500)]);
      assert.deepEqual(
        placements.map(({request}) => request.id),
        ['timely'],
      );
    });

    it('leaves reserves that only urgent requests use', () => {
      const admission = new EngineAdmission<EndpointState>(() => 0.5);
      admission.submit(createRequest({id: 'long'}), 0);
      admission.submit(createUrgent({id: 'urgent'}), 0);
      const {placements} = admission.review(0, () => [busy(24_000)]);
      assert.deepEqual(
        placements.map(({request}) => request.id),
        ['urgent'],
      );
    });

    it('gives less urgent requests a minimum share under urgent load', () => {
      const admission = new EngineAdmission<EndpointState>(() => 0.5);
      admission.submit(createRequest({id: 'long'}), 0);
      let isStarted = false;
      for (let now = 0; now < 3_000 && !isStarted; now += 20) {
        admission.submit(createUrgent({arrivedAt: now}), now);
        admission.submit(createUrgent({arrivedAt: now}), now);
        const {placements} = admission.review(now, () => [busy(23_000)]);
        isStarted = placements.some(({request}) => request.id === 'long');
      }
      assert.ok(isStarted, 'starves although urgent work is admitted');
    });

    it('does not hold back requests that other engines may run', () => {
      const admission = new EngineAdmission<EndpointState>(() => 0.5);
      admission.submit(createRequest({id: 'west', lane: 'west'}), 0);
      admission.submit(createRequest({id: 'east', lane: 'east'}), 0);
      const {placements} = admission.review(0, ({lane}) =>
        lane === 'west' ? [busy(27_000)] : [busy(0)],
      );
      assert.deepEqual(
        placements.map(({request}) => request.id),
        ['east'],
      );
    });
  });

  describe('rejections', () => {
    it('state the predicted wait with a jitter of at most a quarter', () => {
      const admission = new EngineAdmission<EndpointState>(() => 0.999);
      const full = {...new ModelEngine('e1').readState(), openRequests: 24};
      for (let now = 0; now <= 2_000; now += 20) {
        admission.submit(createRequest({arrivedAt: now}), now);
        admission.review(now, () => [full]);
      }
      const rejection = admission.submit(
        createRequest({arrivedAt: 2_000}),
        2_000,
      );
      assert.ok(rejection !== undefined);
      assert.equal(rejection.reason, 'predicted_wait');
      const {waitMilliseconds, retryAfterMilliseconds} = rejection;
      assert.ok(waitMilliseconds > 31_000);
      assert.ok(retryAfterMilliseconds >= waitMilliseconds);
      assert.ok(retryAfterMilliseconds <= 1.25 * waitMilliseconds);
    });

    it('do not follow from a quiet time before the load', () => {
      const admission = new EngineAdmission<EndpointState>(() => 0.5);
      const idle = new ModelEngine('e1').readState();
      for (let now = 0; now < 60_000; now += 10_000) {
        admission.submit(createRequest({arrivedAt: now}), now);
        admission.review(now, () => [idle]);
      }
      for (let index = 0; index < 20; index += 1) {
        const request = createRequest({arrivedAt: 60_000});
        assert.equal(admission.submit(request, 60_000), undefined);
      }
    });

    it('happen before the start of what expired in a suspended process', () => {
      const admission = new EngineAdmission<EndpointState>(() => 0.5);
      admission.submit(createUrgent({id: 'expired'}), 0);
      admission.submit(createRequest({id: 'valid'}), 0);
      const idle = new ModelEngine('e1').readState();
      const review = admission.review(9_000, () => [idle]);
      assert.deepEqual(
        review.rejections.map(({request}) => request.id),
        ['expired'],
      );
      assert.deepEqual(
        review.placements.map(({request}) => request.id),
        ['valid'],
      );
    });
  });
});
