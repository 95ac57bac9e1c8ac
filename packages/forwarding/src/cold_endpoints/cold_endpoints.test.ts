/**
 * Tests the limit of requests to cold endpoints: guards against a cold endpoint
 * that crashes from the requests of all gateways, and against a warm one that is
 * limited.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {EndpointEntry, RoutedService} from '@briarpin/coordination';

import {createEntry} from '../endpoint_eligibility/eligibility_fixture.js';
import {ColdEndpoints} from './cold_endpoints.js';

const RATE = 8;
const COLD_START_MILLISECONDS = 6_000;

/** Bounds of the deployments that state a rate. */
const COLD_OVERAGE = 1.5;
const COLD_SLACK = 5;

const ENTRY = createEntry('e', 'east-1', {startedAt: 1});

function createColdEndpoints(
  gateway = 'front-1',
  change: Partial<RoutedService> = {},
  {
    isRegistryRead = true,
    reporting = [],
  }: {isRegistryRead?: boolean; reporting?: readonly string[]} = {},
) {
  const state = {now: 1_000, counted: 0, logged: [] as object[]};
  const service: RoutedService = {
    name: ENTRY.service,
    healthPath: '/',
    maximumConnections: 10,
    coldStartMilliseconds: COLD_START_MILLISECONDS,
    coldRequestsPerSecond: RATE,
    ...change,
  };
  const silent = () => undefined;
  const cold = new ColdEndpoints({
    gateway,
    findReportingGateways: () => reporting,
    now: () => state.now,
    wallClockMilliseconds: () => 1_000_000 + state.now,
    findService: () => service,
    logger: {
      error: silent,
      warn: silent,
      debug: silent,
      info: (_event, fields) => state.logged.push(fields ?? {}),
    },
    metrics: {countColdRequest: () => (state.counted += 1)},
  });
  if (isRegistryRead) {
    cold.setGateways([gateway]);
  }
  return {cold, state};
}

/** Sends as many requests as the limit allows now. */
function sendAll(cold: ColdEndpoints, entry: EndpointEntry): number {
  let sent = 0;
  for (; sent < 1_000 && cold.hasCapacity(entry); sent += 1) {
    cold.recordSend(entry);
  }
  return sent;
}

describe('ColdEndpoints', () => {
  describe('counts an endpoint as cold', () => {
    it('for the time after this gateway first saw it', () => {
      const {cold, state} = createColdEndpoints();
      cold.recordEntry(ENTRY);
      state.now += COLD_START_MILLISECONDS - 1;
      cold.recordEntry({...ENTRY, sequence: 2});
      assert.equal(cold.isCold(ENTRY), true);
      state.now += 1;
      assert.equal(cold.isCold(ENTRY), false);
    });

    it('in its first entries, since an evacuation may have ended before', () => {
      const {cold, state} = createColdEndpoints();
      cold.recordEntry(ENTRY);
      assert.equal(cold.isCold(ENTRY), true);
      state.now += COLD_START_MILLISECONDS;
      assert.equal(cold.isCold(ENTRY), false);
    });

    it('again for a new incarnation', () => {
      const {cold, state} = createColdEndpoints();
      cold.recordEntry(ENTRY);
      state.now += 60_000;
      assert.equal(cold.isCold(ENTRY), false);
      cold.recordEntry({...ENTRY, startedAt: 2});
      assert.equal(cold.isCold(ENTRY), true);
    });

    it('for the time that its entry states', () => {
      const {cold, state} = createColdEndpoints('front-1', {
        coldStartMilliseconds: 0,
      });
      const entry = {...ENTRY, coldMilliseconds: 2_000};
      cold.recordEntry(entry);
      state.now += 1_999;
      assert.equal(cold.isCold(entry), true);
      state.now += 1;
      assert.equal(cold.isCold(entry), false);
    });

    it('not again for an entry that is repeated', () => {
      const {cold, state} = createColdEndpoints('front-1', {
        coldStartMilliseconds: 0,
      });
      const entry = {...ENTRY, coldMilliseconds: 2_000};
      cold.recordEntry(entry);
      state.now += 2_500;
      cold.recordEntry({...entry, sequence: 2});
      assert.equal(cold.isCold(entry), false);
    });

    it('after the evacuation of its zone has ended', () => {
      const {cold, state} = createColdEndpoints();
      cold.recordEntry(ENTRY);
      const other = createEntry('w', 'west-1');
      cold.recordEntry(other);
      state.now += COLD_START_MILLISECONDS;
      cold.recordRestored('east-1');
      assert.equal(cold.isCold(ENTRY), true);
      assert.equal(cold.isCold(other), false);
      state.now += COLD_START_MILLISECONDS;
      assert.equal(cold.isCold(ENTRY), false);
    });

    it('not without a rate of its service', () => {
      const {cold} = createColdEndpoints('front-1', {
        coldRequestsPerSecond: undefined,
      });
      cold.recordEntry({...ENTRY, coldMilliseconds: 5_000});
      assert.equal(cold.isCold(ENTRY), false);
      assert.equal(sendAll(cold, ENTRY), 1_000);
    });

    it('only while it is tracked or has left recently', () => {
      const {cold, state} = createColdEndpoints('front-1', {
        coldStartMilliseconds: 600_000,
      });
      cold.recordEntry(ENTRY);
      state.now += 200_000;
      cold.evictExpired(() => true);
      assert.equal(cold.isCold(ENTRY), true);
      cold.evictExpired(() => false);
      assert.equal(cold.isCold(ENTRY), false);
    });
  });

  describe('limits the requests to a cold endpoint', () => {
    it('to its share in any 1,250 ms', () => {
      const {cold, state} = createColdEndpoints();
      cold.recordEntry(ENTRY);
      assert.equal(sendAll(cold, ENTRY), RATE);
      state.now += 1_249;
      assert.equal(cold.hasCapacity(ENTRY), false);
      assert.equal(cold.computeWaitMilliseconds(ENTRY), 1);
      state.now += 1;
      assert.equal(sendAll(cold, ENTRY), RATE);
    });

    it('counts copies of runs that were sent above the limit', () => {
      const {cold, state} = createColdEndpoints('front-1', {
        coldRequestsPerSecond: 2,
      });
      cold.recordEntry(ENTRY);
      cold.recordSend(ENTRY);
      state.now += 500;
      cold.recordSend(ENTRY);
      cold.recordSend(ENTRY);
      assert.equal(cold.computeWaitMilliseconds(ENTRY), 1_250);
      assert.equal(state.counted, 3);
    });

    it('not beyond the end of the cold time', () => {
      const {cold, state} = createColdEndpoints();
      cold.recordEntry(ENTRY);
      state.now += COLD_START_MILLISECONDS - 100;
      sendAll(cold, ENTRY);
      assert.equal(cold.computeWaitMilliseconds(ENTRY), 100);
    });

    it('completely at gateways without a share, until it is warm', () => {
      const names = Array.from({length: 30}, (_, index) => `front-${index}`);
      const waits = names.map(name => {
        const {cold} = createColdEndpoints(name, {coldRequestsPerSecond: 1});
        cold.setGateways(names);
        cold.recordEntry(ENTRY);
        return cold.computeWaitMilliseconds(ENTRY);
      });
      waits.sort((left, right) => left - right);
      assert.deepEqual(waits, [
        0,
        ...names.slice(1).map(() => COLD_START_MILLISECONDS),
      ]);
    });

    // A gateway that starts would otherwise use the whole rate for itself.
    it('completely before the registered gateways have been read', () => {
      const {cold} = createColdEndpoints(
        'front-1',
        {},
        {isRegistryRead: false},
      );
      cold.recordEntry(ENTRY);
      assert.equal(sendAll(cold, ENTRY), 0);
      cold.setGateways([]);
      assert.equal(sendAll(cold, ENTRY), RATE);
    });

    it('to a smaller share once more gateways report', () => {
      const reporting: string[] = [];
      const {cold} = createColdEndpoints('front-1', {}, {reporting});
      cold.recordEntry(ENTRY);
      reporting.push('front-2', 'front-3', 'front-4');
      assert.equal(sendAll(cold, ENTRY), RATE / 4);
    });
  });

  describe('of several gateways', () => {
    const names = Array.from({length: 30}, (_, index) => `front-${index}`);

    function sendFromAll(listOf: (name: string) => readonly string[]): number {
      return names
        .map(name => {
          const {cold} = createColdEndpoints(name);
          cold.setGateways(listOf(name));
          cold.recordEntry(ENTRY);
          return sendAll(cold, ENTRY);
        })
        .reduce((sum, sent) => sum + sent, 0);
    }

    it('keeps to the rate without any message', () => {
      assert.equal(
        sendFromAll(() => names),
        RATE,
      );
    });

    it('stays within the bounds while one of them is not registered yet', () => {
      for (const missing of names) {
        const others = names.filter(name => name !== missing);
        const sent = sendFromAll(() => others);
        assert.ok(sent <= RATE * COLD_OVERAGE + COLD_SLACK, `${sent}`);
      }
    });

    it('stays within the bounds while half of them know one less', () => {
      for (const missing of names) {
        const others = names.filter(name => name !== missing);
        const sent = sendFromAll(name =>
          names.indexOf(name) % 2 === 0 ? others : names,
        );
        assert.ok(sent <= RATE * COLD_OVERAGE + COLD_SLACK, `${sent}`);
      }
    });
  });

  it('logs when an endpoint becomes cold and when that ends', () => {
    const {cold, state} = createColdEndpoints();
    cold.recordEntry(ENTRY);
    cold.recordEntry({...ENTRY, sequence: 2});
    assert.deepEqual(state.logged, [
      {
        endpoint: 'e',
        availability_zone: 'east-1',
        share: RATE,
        milliseconds: COLD_START_MILLISECONDS,
        until: 1_001_000 + COLD_START_MILLISECONDS,
      },
    ]);
  });
});
