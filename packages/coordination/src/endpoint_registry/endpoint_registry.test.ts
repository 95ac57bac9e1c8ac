/**
 * Tests of the endpoint registry. Guards against work that is sent to a
 * draining or removed endpoint because of a late entry or a report of a peer,
 * and against the loss of all endpoints after a store outage.
 */
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {EndpointEntry} from '../endpoint_entry/endpoint_entry.js';
import {createTestEntry} from '../endpoint_entry/endpoint_entry_fixture.js';
import {EndpointRegistry} from './endpoint_registry.js';

const HEARTBEAT_MILLISECONDS = 1_200;

function createEntry(id: string, change?: Partial<EndpointEntry>) {
  return createTestEntry({id, startedAt: 1, ...change});
}

function createRegistry() {
  const time = {now: 0};
  const leavingEvents: string[] = [];
  const readyEvents: string[] = [];
  const registry = new EndpointRegistry({
    heartbeatMilliseconds: HEARTBEAT_MILLISECONDS,
    now: () => time.now,
    onLeaving: (entry, reason) => leavingEvents.push(`${entry.id} ${reason}`),
    onReady: entry => readyEvents.push(entry.id),
  });
  const readyIds = () => registry.findReady('text').map(entry => entry.id);
  return {registry, time, leavingEvents, readyEvents, readyIds};
}

describe('EndpointRegistry', () => {
  it('returns only ready endpoints of the service', () => {
    const {registry, readyIds} = createRegistry();
    registry.put(createEntry('a'));
    registry.put(createEntry('b', {service: 'desk'}));
    registry.put(createEntry('c', {state: 'draining'}));
    assert.deepEqual(readyIds(), ['a']);
  });

  describe('when a peer reports a new endpoint', () => {
    it('uses it immediately and keeps it when a store entry confirms it', () => {
      const {registry, time, readyEvents, readyIds} = createRegistry();
      registry.addFromPeer(createEntry('a'));
      assert.deepEqual(readyIds(), ['a']);
      registry.put(createEntry('a', {sequence: 2}));
      time.now = 60_000;
      registry.evictExpired();
      assert.deepEqual(readyIds(), ['a']);
      assert.deepEqual(readyEvents, ['a']);
    });

    it('evicts it when no store entry confirms it', () => {
      const {registry, time, readyIds} = createRegistry();
      registry.addFromPeer(createEntry('a'));
      time.now = 60_000;
      registry.evictExpired();
      assert.deepEqual(readyIds(), []);
    });

    it('does not restore it once it has been removed', () => {
      const {registry, readyIds} = createRegistry();
      registry.put(createEntry('a'));
      registry.remove('a');
      registry.addFromPeer(createEntry('a'));
      assert.deepEqual(readyIds(), []);
    });

    it('lets it drain or be removed like any other endpoint', () => {
      const {registry, leavingEvents, readyIds} = createRegistry();
      registry.addFromPeer(createEntry('a'));
      registry.applyDeparture({id: 'a', startedAt: 1, hasNotice: true});
      assert.deepEqual(readyIds(), []);
      registry.addFromPeer(createEntry('b'));
      registry.remove('b');
      assert.deepEqual(readyIds(), []);
      assert.deepEqual(leavingEvents, ['a told_by_peer', 'b entry_removed']);
    });

    it('does not replace an entry of the store', () => {
      const {registry, readyIds} = createRegistry();
      registry.put(createEntry('a', {state: 'draining'}));
      registry.addFromPeer(createEntry('a'));
      assert.deepEqual(readyIds(), []);
    });
  });

  describe('when a peer reports a departure', () => {
    const GONE = {id: 'a', startedAt: 1, sequence: 5, hasNotice: false};

    // Guards against live endpoints that are never used again, since an entry that
    // was gone for a moment counts as their own notice.
    it('uses an endpoint again whose later entry is written', () => {
      const {registry, leavingEvents, readyIds} = createRegistry();
      registry.put(createEntry('a', {sequence: 5}));
      registry.applyDeparture(GONE);
      assert.deepEqual(readyIds(), []);
      assert.deepEqual(leavingEvents, ['a told_by_peer']);
      registry.put(createEntry('a', {sequence: 6}));
      assert.deepEqual(readyIds(), ['a']);
    });

    it('does not use it again for an entry of before', () => {
      const {registry, readyIds} = createRegistry();
      registry.put(createEntry('a', {sequence: 4}));
      registry.applyDeparture(GONE);
      registry.put(createEntry('a', {sequence: 5}));
      assert.deepEqual(readyIds(), []);
    });

    it('keeps an endpoint of which it knows a later entry', () => {
      const {registry, leavingEvents, readyIds} = createRegistry();
      registry.put(createEntry('a', {sequence: 6}));
      registry.applyDeparture(GONE);
      assert.deepEqual(readyIds(), ['a']);
      assert.deepEqual(leavingEvents, []);
    });

    it('uses it again when a peer has seen a later entry', () => {
      const {registry, readyIds} = createRegistry();
      registry.put(createEntry('a', {sequence: 5}));
      registry.applyDeparture(GONE);
      registry.addFromPeer(createEntry('a', {sequence: 5}));
      assert.deepEqual(readyIds(), []);
      registry.addFromPeer(createEntry('a', {sequence: 6}));
      assert.deepEqual(readyIds(), ['a']);
    });

    it('keeps it when the removal of before is read afterwards', () => {
      const {registry, leavingEvents, readyIds} = createRegistry();
      registry.put(createEntry('a', {sequence: 5}));
      registry.applyDeparture(GONE);
      registry.addFromPeer(createEntry('a', {sequence: 6}));
      registry.remove('a');
      assert.deepEqual(readyIds(), ['a']);
      registry.put(createEntry('a', {sequence: 6}));
      registry.remove('a');
      assert.deepEqual(readyIds(), []);
      assert.deepEqual(leavingEvents, ['a told_by_peer', 'a entry_removed']);
    });

    it('never uses an incarnation again that has announced it', () => {
      const {registry, readyIds} = createRegistry();
      registry.put(createEntry('a', {sequence: 5}));
      registry.applyDeparture({...GONE, hasNotice: true});
      registry.put(createEntry('a', {sequence: 6}));
      registry.remove('a');
      registry.addFromPeer(createEntry('a', {sequence: 7}));
      registry.put(createEntry('a', {sequence: 8}));
      assert.deepEqual(readyIds(), []);
      registry.put(createEntry('a', {sequence: 1, startedAt: 2}));
      assert.deepEqual(readyIds(), ['a']);
    });
  });

  // Guards against requests to an endpoint that has said in a response that it
  // leaves, when a late entry comes after its removal.
  it('remembers what an endpoint says of itself while it is not tracked', () => {
    const {registry, leavingEvents, readyIds} = createRegistry();
    registry.put(createEntry('a', {sequence: 5}));
    registry.remove('a');
    registry.markDrainingFromResponse({id: 'a', startedAt: 1});
    registry.put(createEntry('a', {sequence: 6}));
    assert.deepEqual(readyIds(), []);
    assert.deepEqual(leavingEvents, ['a entry_removed', 'a told_by_endpoint']);
    registry.put(createEntry('a', {sequence: 1, startedAt: 2}));
    assert.deepEqual(readyIds(), ['a']);
  });

  it('keeps an endpoint whose later entry follows its removal', () => {
    const {registry, leavingEvents, readyIds} = createRegistry();
    registry.put(createEntry('a', {sequence: 5}));
    registry.remove('a', createEntry('a', {sequence: 6}));
    assert.deepEqual(readyIds(), ['a']);
    registry.remove('a', createEntry('a', {sequence: 5}));
    assert.deepEqual(readyIds(), []);
    assert.deepEqual(leavingEvents, ['a entry_removed']);
  });

  describe('when an endpoint leaves', () => {
    it('excludes a draining endpoint and reports it once', () => {
      const {registry, leavingEvents, readyIds} = createRegistry();
      registry.put(createEntry('a'));
      registry.put(createEntry('a', {state: 'draining'}));
      registry.put(createEntry('a', {state: 'draining'}));
      registry.remove('a');
      assert.deepEqual(readyIds(), []);
      assert.deepEqual(leavingEvents, ['a draining']);
    });

    it('removes an endpoint that did not drain first', () => {
      const {registry, leavingEvents, readyIds} = createRegistry();
      registry.put(createEntry('a'));
      registry.remove('a');
      assert.deepEqual(readyIds(), []);
      assert.deepEqual(leavingEvents, ['a entry_removed']);
    });

    it('removes an endpoint that is missing from a snapshot', () => {
      const {registry, leavingEvents, readyIds} = createRegistry();
      registry.put(createEntry('a'));
      registry.put(createEntry('b'));
      registry.replaceAll([createEntry('b')]);
      assert.deepEqual(readyIds(), ['b']);
      assert.deepEqual(leavingEvents, ['a entry_removed']);
    });
  });

  describe('when an entry arrives late', () => {
    it('does not reactivate a draining endpoint', () => {
      const {registry, readyIds} = createRegistry();
      registry.put(createEntry('a', {sequence: 8}));
      registry.put(createEntry('a', {sequence: 9, state: 'draining'}));
      registry.put(createEntry('a', {sequence: 8}));
      registry.put(createEntry('a', {sequence: 10}));
      assert.deepEqual(readyIds(), []);
    });

    it('does not restore an endpoint that was removed after draining', () => {
      const {registry, readyIds} = createRegistry();
      registry.put(createEntry('a', {sequence: 8, state: 'draining'}));
      registry.remove('a');
      registry.put(createEntry('a', {sequence: 7}));
      assert.deepEqual(readyIds(), []);
    });

    it('restores an endpoint that did not drain only by a newer entry', () => {
      const {registry, readyIds} = createRegistry();
      registry.put(createEntry('a', {sequence: 8}));
      registry.remove('a');
      registry.put(createEntry('a', {sequence: 7}));
      assert.deepEqual(readyIds(), []);
      registry.put(createEntry('a', {sequence: 9}));
      assert.deepEqual(readyIds(), ['a']);
    });
  });

  describe('when an entry of an earlier incarnation arrives late', () => {
    const EARLIER = {startedAt: 1, sequence: 20};
    const CURRENT = {startedAt: 2, sequence: 1};

    function createRestarted() {
      const fixture = createRegistry();
      fixture.registry.put(createEntry('a', EARLIER));
      fixture.registry.put(createEntry('a', CURRENT));
      fixture.leavingEvents.length = 0;
      fixture.time.now = 1_000;
      return fixture;
    }

    // Guards against live endpoints that are shunned: the late entry was taken for
    // a restart, and reported to the peers as a notice of the current incarnation.
    it('keeps the current one and reports nothing', () => {
      const {registry, leavingEvents, readyIds} = createRestarted();
      for (const state of ['ready', 'draining'] as const) {
        registry.put(createEntry('a', {...EARLIER, sequence: 21, state}));
        assert.equal(registry.find('a')?.startedAt, 2);
        assert.deepEqual(readyIds(), ['a']);
        assert.deepEqual(leavingEvents, []);
      }
    });

    it('keeps it also after its own entry was gone', () => {
      const {registry, readyIds} = createRestarted();
      registry.remove('a');
      registry.put(createEntry('a', {...EARLIER, sequence: 21}));
      assert.deepEqual(readyIds(), []);
      registry.put(createEntry('a', {...CURRENT, sequence: 2}));
      assert.equal(registry.find('a')?.startedAt, 2);
    });

    it('does not know its software until the current one writes again', () => {
      const {registry} = createRestarted();
      const current = createEntry('a', CURRENT);
      assert.equal(registry.mayHaveOtherSoftware(current), false);
      registry.put(
        createEntry('a', {...EARLIER, sequence: 21, softwareVersion: 'v0'}),
      );
      assert.equal(registry.mayHaveOtherSoftware(current), true);
      registry.put(createEntry('a', CURRENT));
      assert.equal(registry.mayHaveOtherSoftware(current), true);
      registry.put(createEntry('a', {...CURRENT, sequence: 2}));
      assert.equal(registry.mayHaveOtherSoftware(current), false);
    });

    it('uses it within two heartbeats if its clock was set back', () => {
      const {registry, time, leavingEvents} = createRestarted();
      const backward = {startedAt: 0, softwareVersion: 'v2'};
      registry.put(createEntry('a', {...backward, sequence: 1}));
      assert.equal(registry.find('a')?.startedAt, 2);
      time.now += HEARTBEAT_MILLISECONDS;
      registry.put(createEntry('a', {...backward, sequence: 2}));
      assert.equal(registry.find('a')?.startedAt, 0);
      assert.deepEqual(leavingEvents, ['a restarted']);
      time.now += HEARTBEAT_MILLISECONDS;
      registry.put(createEntry('a', CURRENT));
      registry.put(createEntry('a', {...EARLIER, sequence: 22}));
      assert.equal(registry.find('a')?.startedAt, 0);
    });

    it('keeps the current one that has written later in the same read', () => {
      const {registry, time} = createRegistry();
      registry.put(createEntry('a', CURRENT));
      time.now = 60_000;
      const next = createEntry('a', {...CURRENT, sequence: 40});
      registry.put(createEntry('a', EARLIER), next);
      assert.equal(registry.find('a')?.startedAt, 2);
    });
  });

  describe('when a peer reports a later incarnation', () => {
    const LATER = {startedAt: 2, sequence: 1};

    it('uses it in place of the one that it knows', () => {
      const {registry, leavingEvents, readyEvents} = createRegistry();
      registry.put(createEntry('a', {sequence: 20}));
      registry.addFromPeer(createEntry('a', LATER));
      assert.equal(registry.find('a')?.startedAt, 2);
      assert.deepEqual(leavingEvents, ['a restarted']);
      assert.deepEqual(readyEvents, ['a', 'a']);
      registry.put(createEntry('a', LATER));
      assert.deepEqual(leavingEvents, ['a restarted']);
    });

    it('uses it although the one that it knows is draining', () => {
      const {registry, readyIds} = createRegistry();
      registry.put(createEntry('a', {sequence: 20, state: 'draining'}));
      registry.addFromPeer(createEntry('a', LATER));
      assert.deepEqual(readyIds(), ['a']);
    });

    it('tells once that the one before has ended, after its departure', () => {
      const {registry, leavingEvents} = createRegistry();
      registry.put(createEntry('a', {sequence: 20}));
      registry.applyDeparture({
        id: 'a',
        startedAt: 1,
        sequence: 20,
        hasNotice: false,
      });
      registry.put(createEntry('a', LATER));
      assert.deepEqual(leavingEvents, ['a told_by_peer', 'a restarted']);
    });

    it('keeps what it knows when the start is not later', () => {
      const {registry, leavingEvents} = createRegistry();
      registry.put(createEntry('a', {sequence: 20}));
      for (const startedAt of [undefined, 0]) {
        registry.addFromPeer(
          createEntry('a', {startedAt, softwareVersion: 'v2', sequence: 99}),
        );
      }
      assert.equal(registry.find('a')?.sequence, 20);
      assert.deepEqual(leavingEvents, []);
    });
  });

  describe('when a peer reports that an endpoint is leaving', () => {
    it('drains the reported incarnation', () => {
      const {registry, readyIds, leavingEvents} = createRegistry();
      registry.put(createEntry('a'));
      registry.applyDeparture({id: 'a', startedAt: 1, hasNotice: true});
      registry.put(createEntry('a', {sequence: 2, state: 'draining'}));
      assert.deepEqual(readyIds(), []);
      assert.deepEqual(leavingEvents, ['a told_by_peer']);
    });

    it('ignores the report for another incarnation', () => {
      const {registry, readyIds} = createRegistry();
      registry.put(createEntry('a', {startedAt: 2}));
      registry.applyDeparture({id: 'a', startedAt: 1, hasNotice: true});
      assert.deepEqual(readyIds(), ['a']);
    });
  });

  it('drains an endpoint whose response says so, until it restarts', () => {
    const {registry, leavingEvents, readyIds} = createRegistry();
    registry.put(createEntry('a', {sequence: 1}));
    registry.markDrainingFromResponse({id: 'a', startedAt: 1});
    registry.put(createEntry('a', {sequence: 2}));
    assert.deepEqual(readyIds(), []);
    assert.deepEqual(leavingEvents, ['a told_by_endpoint']);
    registry.put(createEntry('a', {startedAt: 2}));
    assert.deepEqual(readyIds(), ['a']);
  });

  it('treats a restart under the same identifier as a new endpoint', () => {
    const {registry, leavingEvents, readyEvents} = createRegistry();
    registry.put(createEntry('a'));
    registry.put(createEntry('a', {startedAt: 2}));
    assert.deepEqual(leavingEvents, ['a restarted']);
    assert.deepEqual(readyEvents, ['a', 'a']);
  });

  describe('after the store returned from an old copy', () => {
    const returnEarlierEntry = (milliseconds: number) => {
      const {registry, time} = createRegistry();
      registry.put(createEntry('a', {startedAt: 2, softwareVersion: 'v2'}));
      registry.startGracePeriod();
      time.now = milliseconds;
      registry.put(createEntry('a', {startedAt: 1, softwareVersion: 'v1'}));
      return registry.find('a')?.softwareVersion;
    };

    it('keeps the later incarnation until it has written its entry again', () => {
      assert.equal(returnEarlierEntry(500), 'v2');
    });

    it('accepts an earlier start later, as clocks may have been set back', () => {
      assert.equal(returnEarlierEntry(5_000), 'v1');
    });
  });

  describe('after an outage of the store', () => {
    function createRegistryAfterOutage() {
      const fixture = createRegistry();
      fixture.registry.recordStoreResponse();
      fixture.registry.put(createEntry('a'));
      fixture.time.now = 5_000;
      fixture.registry.recordStoreResponse();
      fixture.registry.remove('a');
      return fixture;
    }

    it('keeps a removed entry during the grace period', () => {
      const {readyIds, leavingEvents} = createRegistryAfterOutage();
      assert.deepEqual(readyIds(), ['a']);
      assert.deepEqual(leavingEvents, []);
    });

    it('evicts it after the grace period when it is not rewritten', () => {
      const {registry, time, readyIds, leavingEvents} =
        createRegistryAfterOutage();
      time.now = 6_999;
      registry.evictExpired();
      assert.deepEqual(readyIds(), ['a']);
      time.now = 7_000;
      registry.evictExpired();
      assert.deepEqual(readyIds(), []);
      assert.deepEqual(leavingEvents, ['a entry_removed']);
    });

    it('keeps it when it is rewritten during the grace period', () => {
      const {registry, time, readyIds, leavingEvents} =
        createRegistryAfterOutage();
      registry.put(createEntry('a'));
      time.now = 9_000;
      registry.evictExpired();
      assert.deepEqual(readyIds(), ['a']);
      assert.deepEqual(leavingEvents, []);
    });

    it('removes a draining endpoint immediately', () => {
      const {registry, time, readyIds} = createRegistry();
      registry.recordStoreResponse();
      registry.put(createEntry('a', {state: 'draining'}));
      time.now = 5_000;
      registry.recordStoreResponse();
      registry.remove('a');
      assert.deepEqual(readyIds(), []);
      assert.equal(registry.find('a'), undefined);
    });
  });

  describe('when it is asked for the only software version', () => {
    const LOOK_BACK_MILLISECONDS = 60_000;
    let fixture: ReturnType<typeof createRegistry>;

    const findOnly = () =>
      fixture.registry.findOnlySoftwareVersion('text', LOOK_BACK_MILLISECONDS);

    /** Reads the store once a second, until a time. */
    const readUntil = (milliseconds: number) => {
      while (fixture.time.now < milliseconds) {
        fixture.time.now += 1_000;
        fixture.registry.recordStoreResponse();
        fixture.registry.evictExpired();
      }
    };

    beforeEach(() => {
      fixture = createRegistry();
      fixture.registry.replaceAll([createEntry('a')]);
    });

    it('knows it from all reads of that time', () => {
      readUntil(70_000);
      assert.equal(findOnly(), 'v1');
    });

    it('does not know it when it has read nothing for long', () => {
      readUntil(70_000);
      fixture.time.now += 20_000;
      assert.equal(findOnly(), undefined);
    });

    it('does not know it after a time without reads, until that is long ago', () => {
      readUntil(70_000);
      fixture.time.now += 20_000;
      readUntil(fixture.time.now + 50_000);
      assert.equal(findOnly(), undefined);
      readUntil(fixture.time.now + 20_000);
      assert.equal(findOnly(), 'v1');
    });
  });

  it('notices that an endpoint has come back with other software', () => {
    const {registry} = createRegistry();
    const before = createEntry('e');
    registry.put(before);
    assert.equal(registry.hasOtherSoftware(before), false);
    registry.put({...before, startedAt: 2, softwareVersion: 'v2'});
    assert.equal(registry.hasOtherSoftware(before), true);
  });
});
