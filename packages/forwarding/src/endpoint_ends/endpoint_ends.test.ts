/**
 * Tests what proves that an endpoint has ended. Guards against a whole answer
 * without a length that is cut, as the entry of its server is gone, and against
 * an answer of a crashed server that looks complete.
 */
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {EndpointEntry} from '@briarpin/coordination';

import {EndpointEnds, type ListenerIdentity} from './endpoint_ends.js';

const ENTRY: EndpointEntry = {
  id: 'a',
  service: 'desk',
  host: '10.0.0.1',
  port: 1,
  availabilityZone: 'east-1',
  softwareVersion: 'v1',
  state: 'ready',
  slots: 1,
  coldMilliseconds: 0,
  startedAt: 10,
};

describe('EndpointEnds', () => {
  let current: EndpointEntry | undefined;
  let state: ListenerIdentity['state'];
  let identity: Omit<ListenerIdentity, 'state'>;
  let probeCount: number;
  let ended: EndpointEntry[];
  let ends: EndpointEnds;

  beforeEach(() => {
    current = ENTRY;
    state = 'listening';
    identity = {};
    probeCount = 0;
    ended = [];
    ends = new EndpointEnds({
      endpoints: {find: () => current},
      identify: () => {
        probeCount += 1;
        return Promise.resolve({state, ...identity});
      },
      onEnded: endpoint => ended.push(endpoint),
    });
  });

  const entries: ReadonlyArray<[string, EndpointEntry | undefined]> = [
    ['is unchanged', ENTRY],
    ['is draining', {...ENTRY, state: 'draining'}],
    ['is gone', undefined],
    ['is a late one of an earlier incarnation', {...ENTRY, startedAt: 9}],
  ];
  for (const [description, entry] of entries) {
    describe(`while the entry ${description}`, () => {
      beforeEach(() => (current = entry));

      it('takes an endpoint that listens for alive', async () => {
        assert.equal(await ends.hasEnded(ENTRY), false);
        assert.deepEqual(ended, []);
      });

      it('takes one that does not listen for ended', async () => {
        state = 'not_listening';
        assert.equal(await ends.hasEnded(ENTRY), true);
        assert.deepEqual(ended, [ENTRY]);
      });

      it('takes a silent host for ended only if its entry is gone', async () => {
        state = 'undecided';
        assert.equal(await ends.hasEnded(ENTRY), entry === undefined);
      });
    });
  }

  // Guards against a part of an answer that looks complete, as the process that
  // listens at the address by now is taken for the one that crashed.
  describe('asks who listens, and', () => {
    const listeners: ReadonlyArray<
      [string, Omit<ListenerIdentity, 'state'>, boolean]
    > = [
      ['says nothing', {}, false],
      ['has its identifier', {id: 'a'}, false],
      ['has its identifier and start', {id: 'a', startedAt: 10}, false],
      ['has another identifier', {id: 'b'}, true],
      ['has another start', {startedAt: 11}, true],
      ['has its identifier and another start', {id: 'a', startedAt: 11}, true],
    ];
    for (const [description, listener, hasEnded] of listeners) {
      it(`decides ${hasEnded} if the listener ${description}`, async () => {
        identity = listener;
        assert.equal(await ends.hasEnded(ENTRY), hasEnded);
      });
    }

    it('compares no start with an entry that states none', async () => {
      identity = {startedAt: 11};
      current = {...ENTRY, startedAt: undefined};
      assert.equal(await ends.hasEnded(current), false);
    });
  });

  for (const [description, entry] of [
    ['a later start', {...ENTRY, startedAt: 11}],
    ['other software', {...ENTRY, softwareVersion: 'v2'}],
  ] as const) {
    it(`needs no probe when the entry shows ${description}`, async () => {
      current = entry;
      assert.equal(await ends.hasEnded(ENTRY), true);
      assert.equal(probeCount, 0);
    });
  }

  it('heeds a restart that becomes known during the probe', async () => {
    const decision = ends.hasEnded(ENTRY);
    current = {...ENTRY, startedAt: 11};
    assert.equal(await decision, true);
  });
});
