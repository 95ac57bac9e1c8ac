/**
 * Each caller receives the complete response to its own request.
 *
 * Guards against truncated responses that are reported as complete, and
 * against text of another request, while connections to engines break.
 */
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';

import {
  callService,
  expectedText,
  requestCompletion,
} from '../fleet/gateway_client.js';
import {Fleet} from '../fleet/fleet.js';
import {
  createTestPlan,
  KEY,
  MODEL,
  OTHER_KEY,
  RESERVATION_PATH,
} from './test_plan.js';

const CALLERS = 1_000;
const FAULT_INTERVAL_MILLISECONDS = 200;

describe('response completeness', () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await Fleet.start(createTestPlan({engines: 3}));
  });

  after(() => fleet.stop());

  it('returns complete responses to 1,000 callers while engine connections break', async () => {
    const engines = [...fleet.engines.values()];
    let round = 0;
    const faults = setInterval(() => {
      round += 1;
      engines[round % engines.length]?.setFault({kind: 'cut_streams'});
    }, FAULT_INTERVAL_MILLISECONDS);
    const responses = await Promise.all(
      Array.from({length: CALLERS}, async (_, index) => {
        const length = 5 + (index % 60);
        const response = await requestCompletion({
          gateway: fleet.gatewayUrls[index % 2] ?? '',
          key: index % 3 === 0 ? OTHER_KEY : KEY,
          model: MODEL,
          prompt: `len=${length} seed=${index}`,
          stream: index % 2 === 0,
        });
        return {response, expected: expectedText(length, index)};
      }),
    );
    clearInterval(faults);
    const mismatched = responses.filter(
      ({response, expected}) =>
        !response.complete || response.text !== expected,
    );
    assert.ok(round > 2, `only ${round} faults`);
    assert.deepEqual(
      mismatched.map(({response}) => response.error?.message ?? response.text),
      [],
    );
  });

  it('returns complete responses while load reads fail and streams break', async () => {
    const engine = fleet.engine('modelo-1');
    const responses = Array.from({length: 30}, async (_, index) => {
      const seed = 3_000 + index;
      const response = await requestCompletion({
        gateway: fleet.gatewayUrls[index % 2] ?? '',
        key: KEY,
        model: MODEL,
        prompt: `len=400 seed=${seed}`,
        stream: true,
      });
      return {response, expected: expectedText(400, seed)};
    });
    while (!engine.ledger.some(({tokens, end}) => tokens > 10 && !end)) {
      await new Promise(resolve => setImmediate(resolve));
    }
    // Longer than the timeout of a load read.
    engine.setFault({kind: 'silence_load', milliseconds: 2_500});
    engine.setFault({kind: 'cut_streams'});
    for (const {response, expected} of await Promise.all(responses)) {
      assert.equal(response.error?.message ?? response.text, expected);
    }
  });

  it('reports truncated responses as incomplete when an engine crashes', async () => {
    const engine = fleet.engine('modelo-1');
    const pending = Array.from({length: 200}, async (_, index) => {
      const seed = 5_000 + index;
      const response = await requestCompletion({
        gateway: fleet.gatewayUrls[index % 2] ?? '',
        key: KEY,
        model: MODEL,
        prompt: `len=150 seed=${seed}`,
        stream: true,
      });
      return {response, expected: expectedText(150, seed)};
    });
    while (!engine.ledger.some(({tokens, end}) => tokens > 40 && !end)) {
      await new Promise(resolve => setImmediate(resolve));
    }
    engine.setFault({kind: 'crash', downMilliseconds: 0});
    const responses = await Promise.all(pending);
    const truncated = responses.filter(({response}) => !response.complete);
    assert.ok(truncated.length > 0);
    for (const {response, expected} of responses) {
      // A response that failed before its first token has an error body instead
      // of generated text.
      const received = response.status === 200 ? response.text : '';
      assert.ok(expected.startsWith(received), received.slice(0, 80));
      assert.equal(response.complete, response.text === expected);
      assert.equal(response.complete, response.error === undefined);
    }
  });
});

describe('completeness of service responses without a length', () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await Fleet.start(createTestPlan({engines: 0, serviceSidecars: 2}));
  });

  after(() => fleet.stop());

  it('reports a service response without a length as unknown when it is reset', async () => {
    const service = fleet.service('plataforma');
    service.setFault({kind: 'omit_length', count: 1, end: 'reset'});
    const response = await callService({
      gateway: fleet.gatewayUrls[0] ?? '',
      key: KEY,
      method: 'POST',
      path: RESERVATION_PATH,
      body: {lot: 'indigo'},
      idempotencyKey: 'reset-answer',
      deadlineMilliseconds: 5_000,
    });
    assert.notEqual(response.status, 200);
    assert.equal(response.error?.outcome, 'unknown');
  });

  it('returns a service response without a length whole', async () => {
    const service = fleet.service('plataforma');
    service.setFault({kind: 'omit_length', count: 1, end: 'close'});
    const response = await callService({
      gateway: fleet.gatewayUrls[0] ?? '',
      key: KEY,
      method: 'POST',
      path: RESERVATION_PATH,
      body: {lot: 'crimson'},
      idempotencyKey: 'answer-without-length',
      deadlineMilliseconds: 5_000,
    });
    assert.equal(response.status, 200);
    assert.match(response.text, /"echo":\{"lot":"crimson"\}\}$/);
  });
});
