/**
 * Tests whose entries are in doubt. Guards against a stream that is pinned to the
 * software of an incarnation that has ended.
 */
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {EndpointEntry} from '@briarpin/coordination';

import type {ListenerIdentity} from '../endpoint_ends/endpoint_ends.js';
import {EndpointDoubts, type EndpointDoubt} from './endpoint_doubts.js';

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
  sequence: 5,
};

describe('EndpointDoubts', () => {
  let current: EndpointEntry | undefined;
  let competingSoftware: string | undefined;
  let doubts: EndpointDoubts;
  let now: number;
  let reported: EndpointDoubt[];
  let answer: (listener: ListenerIdentity) => void;

  beforeEach(() => {
    current = ENTRY;
    competingSoftware = undefined;
    now = 1_000;
    reported = [];
    doubts = new EndpointDoubts({
      endpoints: {
        find: () => current,
        mayHaveOtherSoftware: ({softwareVersion}) =>
          competingSoftware !== undefined &&
          competingSoftware !== softwareVersion,
      },
      now: () => now,
      identify: () => new Promise(resolve => (answer = resolve)),
      onDoubt: doubt => reported.push(doubt),
    });
  });

  it('has none without a refusal', () => {
    assert.equal(doubts.isInDoubt(ENTRY), false);
  });

  it('doubts an entry from a refusal on', () => {
    doubts.recordRefusal(ENTRY);
    assert.equal(doubts.isInDoubt(ENTRY), true);
  });

  it('doubts an entry while another one with other software may be newer', () => {
    competingSoftware = 'v2';
    assert.equal(doubts.isInDoubt(ENTRY), true);
    competingSoftware = 'v1';
    assert.equal(doubts.isInDoubt(ENTRY), false);
  });

  it('doubts nothing once the incarnation has written again', () => {
    doubts.recordRefusal(ENTRY);
    current = {...ENTRY, sequence: 6};
    assert.equal(doubts.isInDoubt(ENTRY), false);
    doubts.recordRefusal(ENTRY);
    assert.equal(doubts.isInDoubt(ENTRY), true);
  });

  it('does not doubt the next incarnation', () => {
    doubts.recordRefusal(ENTRY);
    current = {...ENTRY, startedAt: 11, sequence: 1};
    assert.equal(doubts.isInDoubt(current), false);
    doubts.recordRefusal(ENTRY);
    assert.equal(doubts.isInDoubt(current), false);
  });

  it('doubts an entry without numbers until another incarnation is known', () => {
    current = {...ENTRY, startedAt: undefined, sequence: undefined};
    doubts.recordRefusal(current);
    assert.equal(doubts.isInDoubt(current), true);
    current = {...current, softwareVersion: 'v2'};
    assert.equal(doubts.isInDoubt(current), false);
  });

  it('reports a refusal once, until the incarnation has written again', () => {
    doubts.recordRefusal(ENTRY);
    doubts.recordRefusal(ENTRY);
    assert.equal(reported.length, 1);
    current = {...ENTRY, sequence: 6};
    doubts.recordRefusal(ENTRY);
    assert.deepEqual(
      reported.map(({sequence}) => sequence),
      [5, 6],
    );
  });

  // Guards against streams that go on at other software, as a server that broke them
  // off was back before a connection to it was refused.
  describe('when an endpoint has broken a stream off', () => {
    it('has none any more once the same incarnation answers', async () => {
      const recorded = doubts.recordBreak(ENTRY);
      assert.equal(doubts.isInDoubt(ENTRY), true);
      answer({state: 'listening', startedAt: 10});
      await recorded;
      assert.equal(doubts.isInDoubt(ENTRY), false);
      assert.deepEqual(reported, []);
    });

    const others: ReadonlyArray<[string, ListenerIdentity]> = [
      ['another incarnation answers', {state: 'listening', startedAt: 11}],
      ['what answers states no start', {state: 'listening'}],
      ['nothing listens', {state: 'not_listening'}],
      ['nothing answers', {state: 'undecided'}],
    ];
    for (const [description, listener] of others) {
      it(`doubts it and reports that if ${description}`, async () => {
        const recorded = doubts.recordBreak(ENTRY);
        answer(listener);
        await recorded;
        assert.equal(doubts.isInDoubt(ENTRY), true);
        assert.equal(reported.length, 1);
      });
    }

    it('doubts it if a connection is refused before the answer', async () => {
      const recorded = doubts.recordBreak(ENTRY);
      doubts.recordRefusal(ENTRY);
      answer({state: 'listening', startedAt: 10});
      await recorded;
      assert.equal(doubts.isInDoubt(ENTRY), true);
      assert.equal(reported.length, 1);
    });
  });

  // Guards against a gateway that takes the old entry as it is, since only another
  // one was refused a connection.
  describe('when another gateway reports a doubt', () => {
    const REPORT = {
      id: 'a',
      startedAt: 10,
      softwareVersion: 'v1',
      sequence: 5,
      foundAt: 900,
    };

    it('doubts the entry until a newer one is known', () => {
      doubts.applyReport(REPORT);
      assert.equal(doubts.isInDoubt(ENTRY), true);
      current = {...ENTRY, sequence: 6};
      assert.equal(doubts.isInDoubt(ENTRY), false);
      assert.deepEqual(reported, []);
    });

    it('doubts what it has read itself and the other had not', () => {
      current = {...ENTRY, sequence: 8};
      doubts.applyReport(REPORT);
      assert.equal(doubts.isInDoubt(ENTRY), true);
      current = {...ENTRY, sequence: 9};
      doubts.applyReport({...REPORT, foundAt: 905});
      assert.equal(doubts.isInDoubt(ENTRY), false);
      doubts.applyReport({...REPORT, foundAt: 1_300});
      assert.equal(doubts.isInDoubt(ENTRY), true);
    });

    it('doubts an entry that it reads later and that was written before', () => {
      current = undefined;
      doubts.applyReport(REPORT);
      current = {...ENTRY, sequence: 4};
      assert.equal(doubts.isInDoubt(current), true);
    });

    it('keeps it while the entry is gone, and forgets it long after', () => {
      doubts.applyReport(REPORT);
      current = undefined;
      now = 100_000;
      doubts.applyReport({...REPORT, id: 'b', foundAt: now});
      assert.equal(doubts.isInDoubt(ENTRY), true);
      now = 130_000;
      doubts.applyReport({...REPORT, id: 'c', foundAt: now});
      assert.equal(doubts.isInDoubt(ENTRY), false);
    });
  });
});
