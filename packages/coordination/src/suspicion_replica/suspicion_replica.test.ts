/**
 * Tests that suspicions reach the store and return from it: guards against
 * suspicions that end with the process which observed the crash, or with the
 * records that a store has lost.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {SuspicionTable} from '../suspicion_table/suspicion_table.js';
import {SuspicionReplica} from './suspicion_replica.js';

const CRASH = {deathId: 'd', at: 0, fingerprints: ['a', 'b'], cleared: []};
const OTHER_CRASH = {deathId: 'e', at: 1, fingerprints: ['a'], cleared: []};

describe('SuspicionReplica', () => {
  it('writes nothing before the topic has been read', () => {
    const table = new SuspicionTable();
    const replica = new SuspicionReplica(table, 'front-1');
    table.apply(CRASH);
    assert.equal(replica.createMissingValue(), undefined);
    replica.applySnapshot([]);
    assert.deepEqual(replica.createMissingValue(), [CRASH]);
  });

  it('writes nothing that another process has stored', () => {
    const table = new SuspicionTable();
    const replica = new SuspicionReplica(table, 'front-1');
    table.apply(CRASH);
    replica.applySnapshot([{key: 'front-2', records: [CRASH]}]);
    assert.equal(replica.createMissingValue(), undefined);
  });

  it('keeps what an earlier process stored under its key', () => {
    const table = new SuspicionTable();
    const replica = new SuspicionReplica(table, 'front-1');
    replica.applySnapshot([{key: 'front-1', records: [CRASH]}]);
    table.apply(OTHER_CRASH);
    const value = new SuspicionTable();
    replica.createMissingValue()?.forEach(record => value.apply(record));
    assert.equal(value.countCrashes('a', 1), 2);
    assert.equal(value.countCrashes('b', 1), 1);
  });

  it('writes again what a restored store has lost', () => {
    const table = new SuspicionTable();
    const replica = new SuspicionReplica(table, 'front-1');
    replica.applySnapshot([{key: 'front-2', records: [CRASH]}]);
    replica.applySnapshot([]);
    assert.deepEqual(replica.createMissingValue(), [CRASH]);
  });

  it('stores that a request was cleared', () => {
    const table = new SuspicionTable();
    const replica = new SuspicionReplica(table, 'front-1');
    replica.applySnapshot([{key: 'front-2', records: [CRASH]}]);
    table.clear('a');
    const cleared = {...CRASH, fingerprints: [], cleared: ['a']};
    assert.deepEqual(replica.createMissingValue(), [cleared]);
  });
});
