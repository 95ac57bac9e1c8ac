/**
 * Tests of the admission under load, in virtual time against a small model of
 * engines: what callers get, compared with other orders.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {
  createEngines,
  createRandom,
  createRequest,
  createStream,
  createUrgent,
} from './create_requests.js';
import {
  simulateAdmission,
  type Policy,
  type SimulatedResult,
} from './simulate_admission.js';

/** Time after which a caller that is rejected sends its request again. */
const ROUND_TRIP = 100;

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

describe('EngineAdmission under load', () => {
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
});
