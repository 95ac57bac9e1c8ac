/**
 * Tests the moving averages of endpoints.
 *
 * Guards against failures that are remembered for ever, an engine whose single
 * absurd time excludes it, averages of one endpoint that change another, and
 * entries of endpoints that have left.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {EndpointAverages} from './endpoint_averages.js';

const NEUTRAL = {failureShare: 0, latencyMilliseconds: 0, slowdown: 1};

function createAverages() {
  const time = {now: 0};
  const averages = new EndpointAverages({now: () => time.now});
  const read = (id: string) => {
    const {failureShare, latencyMilliseconds, slowdown} = averages.read(id);
    return {failureShare, latencyMilliseconds, slowdown};
  };
  return {averages, time, read};
}

describe('EndpointAverages', () => {
  it('is neutral about endpoints without responses', () => {
    assert.deepEqual(createAverages().read('a'), NEUTRAL);
  });

  it('changes only the endpoint that responded', () => {
    const {averages, read} = createAverages();
    averages.recordOutcome('a', true);
    averages.recordOutcome('a', false, 40);
    assert.ok(read('a').failureShare > 0.1);
    assert.equal(read('a').latencyMilliseconds, 6);
    assert.deepEqual(read('b'), NEUTRAL);
  });

  it('halves failures and latencies in 3 s without responses', () => {
    const {averages, time, read} = createAverages();
    averages.recordOutcome('a', true, 100);
    time.now = 3_000;
    const {failureShare, latencyMilliseconds} = read('a');
    assert.ok(Math.abs(failureShare - 0.075) < 1e-9, `${failureShare}`);
    assert.ok(Math.abs(latencyMilliseconds - 7.5) < 1e-9);
  });

  it('bounds what a single absurd first event says of an engine', () => {
    const {averages, read} = createAverages();
    averages.recordFirstEvent('a', 1, 60_000);
    assert.ok(read('a').slowdown <= 2.36, `${read('a').slowdown}`);
  });

  it('learns nothing of the prefill from a run without a prompt', () => {
    const {averages, read} = createAverages();
    averages.recordFirstEvent('a', 0, 5_000);
    assert.deepEqual(read('a'), NEUTRAL);
    assert.equal(averages.prefillMillisecondsPerToken, 0.15);
  });

  it('keeps no entries of endpoints whose last requests end after they left', () => {
    const {averages, time} = createAverages();
    for (let index = 0; index < 1_000; index += 1) {
      time.now += 1_000;
      averages.remove(`engine-${index}`);
      averages.recordOutcome(`engine-${index}`, true);
      averages.recordFirstEvent(`engine-${index}`, 100, 30);
    }
    assert.ok(averages.size < 100, `${averages.size}`);
  });

  it('is neutral again about an endpoint that has left', () => {
    const {averages, read} = createAverages();
    averages.recordOutcome('a', true, 100);
    averages.remove('a');
    assert.deepEqual(read('a'), NEUTRAL);
  });
});
