/**
 * A call with an Idempotency-Key runs at most once.
 *
 * Guards against a second execution after concurrent sends, lost responses,
 * lost responses to log appends, an outage of the log, and a claimant (the
 * sidecar that claimed the call) that is suspended or killed.
 */
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';

import {callService, type GatewayResponse} from '../fleet/gateway_client.js';
import {Fleet} from '../fleet/fleet.js';
import {createTestPlan, KEY, RESERVATION_PATH} from './test_plan.js';

describe('at-most-once execution', () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await Fleet.start(createTestPlan({engines: 0, serviceSidecars: 3}));
  });

  after(() => fleet.stop());

  function reserve(
    idempotencyKey: string,
    gateway = 0,
    deadlineMilliseconds = 5_000,
    lot = 'indigo',
  ): Promise<GatewayResponse> {
    return callService({
      gateway: fleet.gatewayUrls[gateway] ?? '',
      key: KEY,
      method: 'POST',
      path: RESERVATION_PATH,
      body: {lot},
      idempotencyKey,
      deadlineMilliseconds,
    });
  }

  function countRuns(idempotencyKey: string): number {
    const {ledger} = fleet.service('plataforma');
    return ledger.filter(entry => entry.idempotencyKey === idempotencyKey)
      .length;
  }

  it('runs a call once when it is sent concurrently through every gateway', async () => {
    const responses = await Promise.all(
      Array.from({length: 40}, (_, index) => reserve('burst', index % 2)),
    );
    assert.equal(countRuns('burst'), 1);
    const texts = new Set(responses.map(({text}) => text));
    assert.equal(texts.size, 1);
    assert.ok(responses.every(({status}) => status === 200));
  });

  it('rejects a different request with the same idempotency key', async () => {
    await reserve('reused');
    const response = await reserve('reused', 1, 5_000, 'crimson');
    assert.equal(response.status, 400);
    assert.equal(response.error?.outcome, 'not_run');
    assert.equal(countRuns('reused'), 1);
  });

  it('runs a call once when the response of the service is lost', async () => {
    const service = fleet.service('plataforma');
    service.setFault({kind: 'lose_answers', count: 1});
    const first = await reserve('lost-answer');
    assert.equal(first.error?.outcome, 'unknown');
    const repeat = await reserve('lost-answer', 1, 500);
    assert.equal(repeat.status, 409);
    assert.equal(repeat.error?.outcome, 'unknown');
    assert.equal(countRuns('lost-answer'), 1);
  });

  it('runs a call once when the responses to log appends are lost', async () => {
    fleet.platform.setFault({kind: 'lose_answers', count: 4});
    const responses = await Promise.all([
      reserve('lost-appends', 0),
      reserve('lost-appends', 1),
    ]);
    fleet.platform.setFault({kind: 'lose_answers', count: 0});
    assert.equal(countRuns('lost-appends'), 1);
    assert.ok(responses.some(({status}) => status === 200));
  });

  it('rejects a call during an outage of the log and runs it once afterwards', async () => {
    fleet.platform.setFault({kind: 'outage', on: true});
    const during = await reserve('outage', 0, 1_000);
    assert.equal(during.error?.outcome, 'not_run');
    assert.equal(countRuns('outage'), 0);
    fleet.platform.setFault({kind: 'outage', on: false});
    let retried = await reserve('outage', 1);
    // The record that abandons the first attempt may not be appended yet.
    for (
      let attempt = 0;
      attempt < 20 && retried.status !== 200;
      attempt += 1
    ) {
      retried = await reserve('outage', 1);
    }
    assert.equal(retried.status, 200);
    assert.equal(countRuns('outage'), 1);
  });

  it('runs a call at most once when its claimant is suspended and it is retried', async () => {
    const sidecars = ['plataforma-1', 'plataforma-2', 'plataforma-3'];
    const suspended = sidecars.slice(0, 2).map(name => fleet.sidecar(name));
    const pending = Array.from({length: 30}, (_, index) =>
      reserve(`frozen-${index}`, index % 2, 1_500),
    );
    suspended.forEach(sidecar => sidecar.signal('SIGSTOP'));
    const first = await Promise.all(pending);
    const repeats = await Promise.all(
      first.map((_, index) =>
        reserve(`frozen-${index}`, 1 - (index % 2), 1_500),
      ),
    );
    suspended.forEach(sidecar => sidecar.signal('SIGCONT'));
    const last = await Promise.all(
      first.map((_, index) => reserve(`frozen-${index}`, 0, 8_000)),
    );
    assert.ok(repeats.length === 30 && last.length === 30);
    first.forEach((_, index) => {
      const runs = countRuns(`frozen-${index}`);
      assert.ok(runs <= 1, `frozen-${index} ran ${runs} times`);
    });
  });

  it('runs a call at most once when its claimant is killed after sending it', async () => {
    const service = fleet.service('plataforma');
    service.setFault({kind: 'slow', milliseconds: 300});
    const pending = Array.from({length: 12}, (_, index) =>
      reserve(`killed-${index}`, index % 2, 3_000),
    );
    while (countRuns('killed-0') === 0) {
      await new Promise(resolve => setImmediate(resolve));
    }
    fleet.sidecar('plataforma-3').signal('SIGKILL');
    const first = await Promise.all(pending);
    service.setFault({kind: 'slow', milliseconds: 0});
    await Promise.all(
      first.map((_, index) => reserve(`killed-${index}`, 0, 1_000)),
    );
    first.forEach((response, index) => {
      const runs = countRuns(`killed-${index}`);
      assert.ok(runs <= 1, `killed-${index} ran ${runs} times`);
      if (response.status === 200) {
        assert.equal(runs, 1);
      }
    });
  });
});
