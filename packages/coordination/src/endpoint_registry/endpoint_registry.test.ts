/**
 * Tests of the registry of endpoints.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {EndpointRegistry, type EndpointEntry} from './endpoint_registry.js';

const HEARTBEAT_MILLISECONDS = 1_200;

function createEntry(id: string, change?: Partial<EndpointEntry>) {
  return {
    id,
    service: 'text',
    host: '10.0.0.1',
    port: 8_000,
    availabilityZone: 'a',
    state: 'ready' as const,
    slots: 4,
    coldMilliseconds: 0,
    startedAt: 1,
    ...change,
  };
}

function createRegistry() {
  const time = {now: 0};
  const left: string[] = [];
  const came: string[] = [];
  const registry = new EndpointRegistry({
    heartbeatMilliseconds: HEARTBEAT_MILLISECONDS,
    now: () => time.now,
    onLeaving: (entry, reason) => left.push(`${entry.id} ${reason}`),
    onReady: entry => came.push(entry.id),
  });
  const readyIds = () => registry.findReady('text').map(entry => entry.id);
  return {registry, time, left, came, readyIds};
}

describe('EndpointRegistry', () => {
  it('offers only ready endpoints of the service', () => {
    const {registry, readyIds} = createRegistry();
    registry.put(createEntry('a'));
    registry.put(createEntry('b', {service: 'desk'}));
    registry.put(createEntry('c', {state: 'draining'}));
    assert.deepEqual(readyIds(), ['a']);
  });

  describe('an endpoint that a peer told of', () => {
    it('gets work at once and stays when an entry confirms it', () => {
      const {registry, time, came, readyIds} = createRegistry();
      registry.putArrived(createEntry('a'));
      assert.deepEqual(readyIds(), ['a']);
      registry.put(createEntry('a', {sequence: 2}));
      time.now = 60_000;
      registry.expire();
      assert.deepEqual(readyIds(), ['a']);
      assert.deepEqual(came, ['a']);
    });

    it('is dropped when no entry confirms it', () => {
      const {registry, time, readyIds} = createRegistry();
      registry.putArrived(createEntry('a'));
      time.now = 60_000;
      registry.expire();
      assert.deepEqual(readyIds(), []);
    });

    it('does not come back once it has left', () => {
      const {registry, readyIds} = createRegistry();
      registry.put(createEntry('a'));
      registry.remove('a');
      registry.putArrived(createEntry('a'));
      assert.deepEqual(readyIds(), []);
    });

    it('leaves like any other', () => {
      const {registry, left, readyIds} = createRegistry();
      registry.putArrived(createEntry('a'));
      registry.putLeaving({id: 'a', startedAt: 1});
      assert.deepEqual(readyIds(), []);
      registry.putArrived(createEntry('b'));
      registry.remove('b');
      assert.deepEqual(readyIds(), []);
      assert.deepEqual(left, ['a told_by_peer', 'b entry_removed']);
    });

    it('does not replace what the store told', () => {
      const {registry, readyIds} = createRegistry();
      registry.put(createEntry('a', {state: 'draining'}));
      registry.putArrived(createEntry('a'));
      assert.deepEqual(readyIds(), []);
    });
  });

  describe('an endpoint that leaves', () => {
    it('gets nothing more and is told of once', () => {
      const {registry, left, readyIds} = createRegistry();
      registry.put(createEntry('a'));
      registry.put(createEntry('a', {state: 'draining'}));
      registry.put(createEntry('a', {state: 'draining'}));
      registry.remove('a');
      assert.deepEqual(readyIds(), []);
      assert.deepEqual(left, ['a draining']);
    });

    it('may leave without a word', () => {
      const {registry, left, readyIds} = createRegistry();
      registry.put(createEntry('a'));
      registry.remove('a');
      assert.deepEqual(readyIds(), []);
      assert.deepEqual(left, ['a entry_removed']);
    });

    it('may be missing from a snapshot', () => {
      const {registry, left, readyIds} = createRegistry();
      registry.put(createEntry('a'));
      registry.put(createEntry('b'));
      registry.replaceAll([createEntry('b')]);
      assert.deepEqual(readyIds(), ['b']);
      assert.deepEqual(left, ['a entry_removed']);
    });
  });

  describe('an entry that was written late', () => {
    it('does not bring back an endpoint that leaves', () => {
      const {registry, readyIds} = createRegistry();
      registry.put(createEntry('a', {sequence: 8}));
      registry.put(createEntry('a', {sequence: 9, state: 'draining'}));
      registry.put(createEntry('a', {sequence: 8}));
      registry.put(createEntry('a', {sequence: 10}));
      assert.deepEqual(readyIds(), []);
    });

    it('does not bring back one that has left', () => {
      const {registry, readyIds} = createRegistry();
      registry.put(createEntry('a', {sequence: 8, state: 'draining'}));
      registry.remove('a');
      registry.put(createEntry('a', {sequence: 7}));
      assert.deepEqual(readyIds(), []);
    });

    it('does not bring back one that left without a word', () => {
      const {registry, readyIds} = createRegistry();
      registry.put(createEntry('a', {sequence: 8}));
      registry.remove('a');
      registry.put(createEntry('a', {sequence: 7}));
      assert.deepEqual(readyIds(), []);
      registry.put(createEntry('a', {sequence: 9}));
      assert.deepEqual(readyIds(), ['a']);
    });
  });

  describe('a peer that says that an endpoint leaves', () => {
    it('is believed for that life', () => {
      const {registry, readyIds, left} = createRegistry();
      registry.put(createEntry('a'));
      registry.putLeaving({id: 'a', startedAt: 1});
      registry.put(createEntry('a', {sequence: 2, state: 'draining'}));
      assert.deepEqual(readyIds(), []);
      assert.deepEqual(left, ['a told_by_peer']);
    });

    it('says nothing of another life', () => {
      const {registry, readyIds} = createRegistry();
      registry.put(createEntry('a', {startedAt: 2}));
      registry.putLeaving({id: 'a', startedAt: 1});
      assert.deepEqual(readyIds(), ['a']);
    });
  });

  it('takes a new start under the same name for another endpoint', () => {
    const {registry, left, came} = createRegistry();
    registry.put(createEntry('a'));
    registry.put(createEntry('a', {startedAt: 2}));
    assert.deepEqual(left, ['a restarted']);
    assert.deepEqual(came, ['a', 'a']);
  });

  describe('after an outage of the store', () => {
    function endOutage() {
      const parts = createRegistry();
      parts.registry.noteContact();
      parts.registry.put(createEntry('a'));
      parts.time.now = 5_000;
      parts.registry.noteContact();
      parts.registry.remove('a');
      return parts;
    }

    it('keeps an entry that lapsed until it can be back', () => {
      const {readyIds, left} = endOutage();
      assert.deepEqual(readyIds(), ['a']);
      assert.deepEqual(left, []);
    });

    it('drops it when it does not come back', () => {
      const {registry, time, readyIds, left} = endOutage();
      time.now = 6_999;
      registry.expire();
      assert.deepEqual(readyIds(), ['a']);
      time.now = 7_000;
      registry.expire();
      assert.deepEqual(readyIds(), []);
      assert.deepEqual(left, ['a entry_removed']);
    });

    it('goes on with it when it comes back', () => {
      const {registry, time, readyIds, left} = endOutage();
      registry.put(createEntry('a'));
      time.now = 9_000;
      registry.expire();
      assert.deepEqual(readyIds(), ['a']);
      assert.deepEqual(left, []);
    });

    it('believes at once that a draining endpoint is gone', () => {
      const {registry, time, readyIds} = createRegistry();
      registry.noteContact();
      registry.put(createEntry('a', {state: 'draining'}));
      time.now = 5_000;
      registry.noteContact();
      registry.remove('a');
      assert.deepEqual(readyIds(), []);
      assert.equal(registry.find('a'), undefined);
    });
  });
});
