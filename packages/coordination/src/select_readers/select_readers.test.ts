/**
 * Tests of selecting readers.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {selectReaders} from './select_readers.js';

const PROCESSES = Array.from({length: 20}, (_, index) => `front-${index}`);

describe('selectReaders', () => {
  it('selects the same for all, whatever the order', () => {
    const readers = selectReaders(PROCESSES, 'keyed.servers');
    const reversed = [...PROCESSES].reverse();
    assert.deepEqual(selectReaders(reversed, 'keyed.servers'), readers);
    assert.equal(readers.length, 3);
  });

  it('replaces only the reader that is gone', () => {
    const readers = selectReaders(PROCESSES, 'keyed.servers');
    const [gone, ...rest] = readers;
    const left = PROCESSES.filter(name => name !== gone);
    const next = selectReaders(left, 'keyed.servers');
    assert.deepEqual(next.slice(0, 2), rest);
  });

  it('selects everyone where there are few', () => {
    assert.deepEqual(selectReaders(['front-1'], 'keyed.servers'), ['front-1']);
  });
});
