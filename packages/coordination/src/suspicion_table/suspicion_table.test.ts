/**
 * Tests of crash suspicions: guards against a crash that is counted twice and
 * against suspicions that never expire.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {SUSPICION_LIFETIME_MILLISECONDS} from '../constants.js';
import {SuspicionTable} from './suspicion_table.js';

describe('SuspicionTable', () => {
  it('counts a crash once per request when its report is repeated', () => {
    const table = new SuspicionTable();
    table.apply({deathId: 'd', at: 0, fingerprints: ['a']});
    table.apply({deathId: 'd', at: 0, fingerprints: ['a', 'b']});
    assert.equal(table.countCrashes('a', 1), 1);
    assert.equal(table.countCrashes('b', 1), 1);
    table.apply({deathId: 'e', at: 0, fingerprints: ['a']});
    assert.equal(table.countCrashes('a', 1), 2);
  });

  it('does not count a crash of which the request was cleared, in any order', () => {
    const crash = {deathId: 'd', at: 0, fingerprints: ['a', 'b']};
    const cleared = {deathId: 'd', at: 0, fingerprints: [], cleared: ['a']};
    for (const records of [
      [crash, cleared],
      [cleared, crash],
    ]) {
      const table = new SuspicionTable();
      records.forEach(record => table.apply(record));
      table.apply({deathId: 'e', at: 0, fingerprints: ['a']});
      assert.equal(table.countCrashes('a', 1), 1);
      assert.equal(table.countCrashes('b', 1), 1);
    }
  });

  it('clears a request of all crashes and lists what changed', () => {
    const table = new SuspicionTable();
    table.apply({deathId: 'd', at: 0, fingerprints: ['a']});
    table.apply({deathId: 'e', at: 0, fingerprints: ['a']});
    assert.equal(table.clear('a').length, 2);
    assert.equal(table.countCrashes('a', 1), 0);
    assert.deepEqual(table.clear('a'), []);
  });

  it('reports no crashes after the suspicion has expired', () => {
    const table = new SuspicionTable();
    table.apply({deathId: 'd', at: 0, fingerprints: ['a']});
    const later = SUSPICION_LIFETIME_MILLISECONDS + 1;
    assert.equal(table.countCrashes('a', later), 0);
  });
});
