/**
 * Tests of the quarantine: guards against requests that are refused although no
 * endpoint crashed under them, and against crashes that are not counted.
 */
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {SuspicionTable, type EndpointEntry} from '@briarpin/coordination';
import type {SuspicionRecord} from '@briarpin/messages';
import type {ListenerState} from '@briarpin/platform';

import {CrashQuarantine, type SuspectedRequest} from './crash_quarantine.js';

const REQUEST: SuspectedRequest = {
  fingerprint: () => 'a',
  signal: new AbortController().signal,
  metadata: {
    requestId: 'r-1',
    promptTokens: 0,
    maximumOutputTokens: 0,
    promptParts: [],
  },
};

const silent = () => undefined;
const LOGGER = {error: silent, warn: silent, info: silent, debug: silent};

function createEntry(id: string): EndpointEntry {
  return {
    id,
    service: 'desk',
    host: '10.0.0.1',
    port: 1,
    availabilityZone: 'east-1',
    state: 'ready',
    slots: 1,
    softwareVersion: 'v1',
    coldMilliseconds: 0,
    startedAt: 1,
  };
}

describe('CrashQuarantine', () => {
  let table: SuspicionTable;
  let quarantine: CrashQuarantine;
  let listenerState: ListenerState;
  let entries: Map<string, EndpointEntry>;
  let announced: SuspicionRecord[];
  let now: number;
  let probeCount: number;

  beforeEach(() => {
    table = new SuspicionTable();
    listenerState = 'undecided';
    entries = new Map();
    announced = [];
    now = 0;
    probeCount = 0;
    quarantine = new CrashQuarantine({
      table,
      endpoints: {find: id => entries.get(id)},
      now: () => now,
      random: () => 0,
      gateway: 'front-1',
      wallClockMilliseconds: () => now,
      probeListener: () => {
        probeCount += 1;
        return Promise.resolve(listenerState);
      },
      logger: LOGGER,
      onSuspicion: record => announced.push(record),
    });
  });

  const interrupt = async (
    id: string,
    request = REQUEST,
  ): Promise<EndpointEntry> => {
    const entry = createEntry(id);
    entries.set(id, entry);
    quarantine.recordInterrupted(request, entry);
    await new Promise(resolve => setImmediate(resolve));
    return entry;
  };

  const isRefused = () => quarantine.computeRefusalMilliseconds(REQUEST) > 0;

  it('refuses a request after three endpoints stopped listening under it', async () => {
    listenerState = 'not_listening';
    await interrupt('one');
    await interrupt('two');
    assert.equal(isRefused(), false);
    await interrupt('three');
    assert.equal(isRefused(), true);
    assert.equal(announced.length, 3);
  });

  it('does not count interrupted attempts at endpoints that still listen', async () => {
    listenerState = 'listening';
    for (const id of ['one', 'two', 'three', 'four']) {
      await interrupt(id);
    }
    assert.equal(isRefused(), false);
  });

  it('counts the crash of a host that does not respond once its entry is gone', async () => {
    for (const id of ['one', 'two', 'three']) {
      quarantine.recordCrash(await interrupt(id));
    }
    assert.equal(isRefused(), true);
  });

  it('probes no endpoint when the caller ended the attempt', async () => {
    listenerState = 'not_listening';
    await interrupt('one', {...REQUEST, signal: AbortSignal.abort()});
    assert.equal(probeCount, 0);
    await interrupt('one');
    assert.equal(probeCount, 1);
  });

  it('does not count an endpoint that shuts down with a notice', async () => {
    for (const id of ['one', 'two', 'three']) {
      const entry = await interrupt(id);
      quarantine.recordShutdown(entry);
      quarantine.recordCrash(entry);
    }
    assert.equal(isRefused(), false);
  });

  it('does not count an endpoint that ends long after the attempt', async () => {
    for (const id of ['one', 'two', 'three']) {
      const entry = await interrupt(id);
      now += 20_000;
      await interrupt('other');
      quarantine.recordCrash(entry);
    }
    assert.equal(isRefused(), false);
  });

  it('counts a crash once for attempts that end after it was found', async () => {
    const entry = await interrupt('one');
    quarantine.recordCrash(entry);
    quarantine.recordInterrupted(REQUEST, entry);
    quarantine.recordInterrupted(REQUEST, entry);
    assert.equal(table.countCrashes('a', now), 1);
  });

  it('stops suspecting a request that runs to its end', async () => {
    listenerState = 'not_listening';
    await interrupt('one');
    await interrupt('two');
    quarantine.recordCompleted(REQUEST);
    await interrupt('three');
    assert.equal(isRefused(), false);
    assert.equal(table.countCrashes('a', now), 1);
  });

  describe('tells a refused caller to come again', () => {
    const MINUTE = 60_000;
    const withPart = (request: string) => ({
      ...REQUEST,
      fingerprint: () => request,
      metadata: {
        ...REQUEST.metadata,
        promptParts: [
          {id: 'deadly', tokens: 10},
          {id: request, tokens: 10},
        ],
      },
    });

    const crashUnder = async (request: typeof REQUEST, id: string) =>
      quarantine.recordCrash(await interrupt(id, request));

    const readRetryAfter = (request: typeof REQUEST) =>
      quarantine.admit(request)?.retryAfterMilliseconds;

    it('when the suspicion of a whole request expires', async () => {
      for (const id of ['one', 'two', 'three']) {
        await crashUnder(REQUEST, id);
      }
      now = 10 * MINUTE;
      assert.equal(readRetryAfter(REQUEST), 50 * MINUTE);
    });

    it('when a trial of a prompt part may clear it', async () => {
      for (const id of ['one', 'two', 'three']) {
        await crashUnder(withPart(id), id);
      }
      now = 500;
      assert.equal(readRetryAfter(withPart('next')), 1_500);
      now = 5_000;
      assert.equal(readRetryAfter(withPart('trial')), undefined);
      now = 6_000;
      assert.equal(readRetryAfter(withPart('next')), 14_000);
      now = 7_000;
      await crashUnder(withPart('trial'), 'four');
      now = 8_000;
      assert.equal(readRetryAfter(withPart('next')), 60 * MINUTE - 1_000);
    });
  });
});
