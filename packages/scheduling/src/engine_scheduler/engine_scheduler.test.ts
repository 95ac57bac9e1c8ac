/**
 * Tests of the engine scheduler: admission, refusals, quarantine of requests
 * that may crash the engine, and priority of urgent requests.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {GenerationRequest} from '../request/request.js';
import {EngineScheduler} from './engine_scheduler.js';

const POLICY = {
  initialMarginDeviations: 2,
  preemptionTargetPerThousand: 2,
  waitingMinimumShare: 0.2,
};
const REQUEST_POLICY = {
  urgentAllowanceTokensPerSecond: 100,
  maximumWaitingPerOrganisation: 5,
  maximumWaitMilliseconds: 60_000,
};

function createScheduler(capacityTokens = 10_000): EngineScheduler {
  return new EngineScheduler({
    capacityTokens,
    policy: POLICY,
    maximumWaiting: 100,
  });
}

function createRequest(
  id: string,
  overrides: Partial<GenerationRequest> = {},
): GenerationRequest {
  return {
    id,
    organisation: 'one',
    requestClass: 'standard',
    model: 'm',
    promptTokens: 10,
    maximumTokens: 100,
    deadline: 100_000,
    weight: 1,
    suspectedDeaths: 0,
    ...overrides,
  };
}

describe('EngineScheduler', () => {
  it('starts the requests that fit and keeps the others waiting', () => {
    const scheduler = createScheduler(300);
    ['a', 'b', 'c', 'd'].forEach(id =>
      scheduler.submit(createRequest(id), REQUEST_POLICY, 0),
    );
    let started = 0;
    while (scheduler.startNext(0) !== undefined) {
      started += 1;
    }
    assert.ok(started >= 1 && started < 4, `started ${started}`);
    assert.equal(scheduler.waitingCount, 4 - started);
  });

  describe('refuses a request immediately', () => {
    it('when its prompt exceeds the memory of the engine', () => {
      const refusal = createScheduler(100).submit(
        createRequest('big', {promptTokens: 200}),
        REQUEST_POLICY,
        0,
      );
      assert.equal(refusal?.reason, 'too_large');
    });

    it('when its organisation has the maximum of waiting requests', () => {
      const scheduler = createScheduler(1);
      const reasons = Array.from(
        {length: 7},
        (_, index) =>
          scheduler.submit(
            createRequest(`r${index}`, {promptTokens: 0}),
            REQUEST_POLICY,
            0,
          )?.reason,
      );
      assert.equal(reasons.filter(Boolean).length, 2);
      assert.equal(reasons.at(-1), 'too_many_waiting');
    });

    it('when two endpoints have crashed while running it', () => {
      const refusal = createScheduler().submit(
        createRequest('bad', {suspectedDeaths: 2}),
        REQUEST_POLICY,
        0,
      );
      assert.equal(refusal?.reason, 'quarantined');
    });
  });

  it('refuses a waiting request when its deadline passes', () => {
    const scheduler = createScheduler(60);
    scheduler.submit(createRequest('first'), REQUEST_POLICY, 0);
    scheduler.startNext(0);
    scheduler.submit(
      createRequest('second', {deadline: 500}),
      REQUEST_POLICY,
      0,
    );
    assert.deepEqual(scheduler.expire(499), []);
    const [refusal] = scheduler.expire(500);
    assert.equal(refusal?.id, 'second');
    assert.equal(refusal?.reason, 'deadline_passed');
  });

  it('runs a quarantined request alone until it has generated 8 tokens', () => {
    const scheduler = createScheduler();
    scheduler.submit(createRequest('normal'), REQUEST_POLICY, 0);
    assert.equal(scheduler.startNext(0)?.request.id, 'normal');
    const quarantined = createRequest('suspect', {suspectedDeaths: 1});
    scheduler.submit(quarantined, REQUEST_POLICY, 0);
    scheduler.submit(createRequest('later'), REQUEST_POLICY, 0);
    assert.equal(scheduler.startNext(0), undefined);
    scheduler.recordEnd('normal', true, 1);
    assert.equal(scheduler.startNext(1)?.request.id, 'suspect');
    assert.equal(scheduler.startNext(1), undefined);
    scheduler.recordTokens('suspect', 8, 2);
    assert.equal(scheduler.startNext(2)?.request.id, 'later');
  });

  it('schedules urgent requests beyond the allowance as standard', () => {
    const scheduler = createScheduler(100_000);
    const createUrgent = (id: string) =>
      createRequest(id, {requestClass: 'urgent'});
    const priorities = [];
    for (let index = 0; index < 30; index += 1) {
      scheduler.submit(createUrgent(`u${index}`), REQUEST_POLICY, 0);
      priorities.push(scheduler.startNext(0)?.priority);
    }
    assert.equal(priorities[0], 300);
    assert.equal(priorities.at(-1), 200);
  });

  it('starts an urgent request that fits when a longer one does not', () => {
    const scheduler = createScheduler(1_000);
    for (let index = 0; index < 400; index += 1) {
      scheduler.recordLength(createRequest('x'), 90);
      scheduler.recordLength(createRequest('x', {requestClass: 'urgent'}), 5);
    }
    for (let index = 0; index < 5; index += 1) {
      scheduler.submit(
        createRequest(`long${index}`, {promptTokens: 250}),
        REQUEST_POLICY,
        0,
      );
    }
    while (scheduler.startNext(0) !== undefined);
    const urgent = createRequest('urgent', {
      requestClass: 'urgent',
      promptTokens: 1,
    });
    scheduler.submit(urgent, REQUEST_POLICY, 0);
    assert.equal(scheduler.startNext(0)?.request.id, 'urgent');
  });

  it('starts no standard request while generations wait in the engine', () => {
    const scheduler = createScheduler();
    scheduler.submit(createRequest('a'), REQUEST_POLICY, 0);
    scheduler.startNext(0);
    scheduler.recordEngineReport({preemptions: 1, waiting: 1});
    scheduler.submit(createRequest('b'), REQUEST_POLICY, 0);
    assert.equal(scheduler.startNext(0), undefined);
    scheduler.recordEngineReport({preemptions: 0, waiting: 0});
    assert.equal(scheduler.startNext(0)?.request.id, 'b');
  });

  it('counts the tokens of running generations until they end', () => {
    const scheduler = createScheduler();
    scheduler.submit(createRequest('a'), REQUEST_POLICY, 0);
    scheduler.startNext(0);
    scheduler.recordTokens('a', 7, 1);
    assert.equal(scheduler.usedTokens, 17);
    scheduler.recordEnd('a', true, 2);
    assert.equal(scheduler.usedTokens, 0);
  });
});
