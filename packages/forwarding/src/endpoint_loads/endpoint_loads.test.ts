/**
 * Tests of endpoint load tracking. They guard against placement on stale or
 * partial load: work of other gateways that is not counted, released work that
 * still counts, and averages that never decay.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {EndpointEntry, RoutedService} from '@briarpin/coordination';

import {EndpointLoads} from './endpoint_loads.js';

const SERVICE: RoutedService = {
  name: 'text',
  healthPath: '/',
  maximumConnections: 10,
  coldStartMilliseconds: 0,
  engine: {
    slots: 8,
    memoryTokens: 30_000,
    bytesPerToken: 160_000,
    copyLinkMegabitsPerSecond: 24_000,
    supportsMoves: true,
    supportsCheckpoints: true,
    tokensPerEvent: 4,
    copyLifetimeMilliseconds: 5_000,
  },
};

function createEntry(id: string, availabilityZone = 'east-1'): EndpointEntry {
  return {
    id,
    service: 'text',
    host: '10.0.0.1',
    port: 80,
    availabilityZone,
    state: 'ready',
    slots: 8,
    softwareVersion: 'v1',
    coldMilliseconds: 0,
  };
}

function createLoads() {
  const time = {now: 0};
  const loads = new EndpointLoads({
    now: () => time.now,
    findDraining: () => [],
    roundTripMilliseconds: () => 0,
  });
  const computeCandidate = (id: string, service: RoutedService | undefined) =>
    loads.computeCandidates([createEntry(id)], service)[0];
  return {loads, time, computeCandidate};
}

describe('EndpointLoads', () => {
  it('adds the work of other gateways to its own', () => {
    const {loads, computeCandidate} = createLoads();
    loads.add('a', {requests: 1, tokens: 3_000, promptTokens: 3_000});
    const other = {requests: 2, tokens: 5_000, promptTokens: 2_000};
    loads.setGatewayWork('front-2', new Map([['a', other]]));
    assert.equal(computeCandidate('a', SERVICE)?.openRequests, 3);
    assert.equal(computeCandidate('a', SERVICE)?.usedTokens, 8_000);
    assert.equal(loads.countPendingPromptTokens('a'), 5_000);
    loads.removeGateway('front-2');
    assert.equal(computeCandidate('a', SERVICE)?.openRequests, 1);
  });

  it('removes the entry of an endpoint once its work is released', () => {
    const {loads} = createLoads();
    loads.add('a', {requests: 1, tokens: 3_000});
    loads.remove('a', {requests: 1, tokens: 3_000});
    assert.equal(loads.localWork.size, 0);
  });

  it('predicts a longer wait behind queued prompts', () => {
    const {loads, computeCandidate} = createLoads();
    const before =
      computeCandidate('a', SERVICE)?.waitMilliseconds ?? Number.NaN;
    loads.add('a', {requests: 1, tokens: 6_000, promptTokens: 6_000});
    const after =
      computeCandidate('a', SERVICE)?.waitMilliseconds ?? Number.NaN;
    assert.equal(before, 0);
    assert.ok(after > 300, `${after}`);
  });

  it('predicts a longer wait at a slow engine until the average decays', () => {
    const {loads, time, computeCandidate} = createLoads();
    const waitAt = (id: string) =>
      computeCandidate(id, SERVICE)?.waitMilliseconds ?? Number.NaN;
    for (const id of ['slow', 'fast']) {
      loads.add(id, {requests: 1, promptTokens: 3_000});
    }
    for (let index = 0; index < 10; index += 1) {
      loads.recordFirstEvent('slow', 3_000, 3_000);
      loads.recordFirstEvent('fast', 3_000, 400);
    }
    const ratio = waitAt('slow') / waitAt('fast');
    assert.ok(ratio > 1.5, `${ratio}`);
    time.now = 30_000;
    assert.ok(waitAt('slow') / waitAt('fast') < 1.1);
  });

  it('decays the failure share within 15 seconds', () => {
    const {loads, time, computeCandidate} = createLoads();
    for (let index = 0; index < 10; index += 1) {
      loads.recordOutcome('a', true);
    }
    assert.ok((computeCandidate('a', undefined)?.failureShare ?? 0) > 0.5);
    time.now = 15_000;
    assert.ok((computeCandidate('a', undefined)?.failureShare ?? 1) < 0.05);
  });

  it('computes the evacuation share, infinite for the only engine of a zone', () => {
    const {loads} = createLoads();
    loads.add('a', {requests: 3, tokens: 15_000});
    const entries = [
      createEntry('a'),
      createEntry('b'),
      createEntry('single', 'west-1'),
    ];
    const [a, , single] = loads.computeCandidates(entries, SERVICE);
    assert.equal(a?.evacuationShare, 0.5);
    assert.equal(single?.evacuationShare, Number.POSITIVE_INFINITY);
  });

  describe('pace', () => {
    const entry = createEntry('a');
    const load = {running: 1, waiting: 0, slots: 8};

    it('changes nothing while responses state three figures', () => {
      const {loads, time, computeCandidate} = createLoads();
      const before = computeCandidate('a', SERVICE);
      loads.startRamp(entry);
      loads.recordLoad('a', load);
      loads.recordEvent('a', 30);
      loads.recordFault(entry);
      loads.recordServed(entry, {openRequests: 1, isInTime: false});
      time.now = 1_000;
      assert.deepEqual(computeCandidate('a', SERVICE), before);
      assert.equal(loads.createPaceReport().size, 0);
    });

    it('predicts the time between events for a batch with the request', () => {
      const {loads, computeCandidate} = createLoads();
      loads.recordLoad('a', {...load, pacePercent: 100});
      loads.recordEvent('a', 28);
      const first = computeCandidate('a', SERVICE)?.decoding;
      assert.equal(first?.tokensPerEvent, 4);
      assert.ok(Math.abs((first?.eventMilliseconds ?? 0) - 28.48) < 0.01);
    });

    it('limits a new endpoint once its service states the pace', () => {
      const {loads, computeCandidate} = createLoads();
      const other = {requests: 0, tokens: 0, promptTokens: 0};
      const report = new Map([['a', {...other, eventMicroseconds: 28_000}]]);
      loads.startRamp(entry);
      assert.equal(computeCandidate('a', SERVICE)?.concurrencyLimit, 8);
      loads.setGatewayWork('front-2', report);
      assert.equal(computeCandidate('a', SERVICE)?.concurrencyLimit, 2);
    });

    it('starts again when an endpoint restarts', () => {
      const {loads, computeCandidate} = createLoads();
      loads.recordLoad('a', {...load, pacePercent: 100});
      loads.recordEvent('a', 28);
      loads.recordFault(entry);
      assert.equal(computeCandidate('a', SERVICE)?.concurrencyLimit, 4);
      loads.removeAverages('a');
      assert.equal(computeCandidate('a', SERVICE)?.concurrencyLimit, 8);
      assert.equal(computeCandidate('a', SERVICE)?.decoding, undefined);
    });

    it('halves the limit of an endpoint that has never responded', () => {
      const {loads} = createLoads();
      const dead = createEntry('dead');
      const readLimits = () =>
        loads
          .computeCandidates([entry, dead], SERVICE)
          .map(({concurrencyLimit}) => concurrencyLimit);
      loads.recordLoad('a', {...load, pacePercent: 100});
      loads.recordEvent('a', 28);
      assert.deepEqual(readLimits(), [8, 8]);
      loads.recordFault(dead);
      assert.deepEqual(readLimits(), [8, 4]);
    });

    it('changes nothing for an endpoint with three figures beside others', () => {
      const {loads} = createLoads();
      loads.startRamp(createEntry('three'));
      loads.recordLoad('three', load);
      loads.recordLoad('a', {...load, pacePercent: 100});
      loads.recordEvent('a', 28);
      const entries = [entry, createEntry('three')];
      const [, three] = loads.computeCandidates(entries, SERVICE);
      loads.recordFault(createEntry('three'));
      assert.equal(three?.concurrencyLimit, 8);
      assert.equal(three?.decoding, undefined);
    });

    it('predicts the wait of a plain endpoint from its pace', () => {
      const {loads, time, computeCandidate} = createLoads();
      loads.recordLoad('a', {...load, pacePercent: 100});
      for (let index = 0; index < 15; index += 1) {
        time.now += 110;
        loads.add('a', {requests: 1});
        loads.recordOutcome('a', false, 60, 8);
        loads.remove('a', {requests: 1});
      }
      assert.equal(computeCandidate('a', undefined)?.waitMilliseconds, 60);
      loads.add('a', {requests: 12});
      assert.ok((computeCandidate('a', undefined)?.waitMilliseconds ?? 0) > 90);
    });
  });
});
