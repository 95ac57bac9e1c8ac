/**
 * Tests of reader selection: guards against processes that select different
 * readers from the same list, and against needless changes of readers.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {selectReaders} from './select_readers.js';

const PROCESSES = Array.from({length: 20}, (_, index) => `front-${index}`);

describe('selectReaders', () => {
  it('selects the same readers regardless of list order', () => {
    const readers = selectReaders(PROCESSES, 'keyed.servers');
    const reversed = [...PROCESSES].reverse();
    assert.deepEqual(selectReaders(reversed, 'keyed.servers'), readers);
    assert.equal(readers.length, 3);
  });

  it('replaces only a removed reader', () => {
    const readers = selectReaders(PROCESSES, 'keyed.servers');
    const [removed, ...rest] = readers;
    const remaining = PROCESSES.filter(name => name !== removed);
    const next = selectReaders(remaining, 'keyed.servers');
    assert.deepEqual(next.slice(0, 2), rest);
  });

  it('selects all processes when there are fewer than the limit', () => {
    assert.deepEqual(selectReaders(['front-1'], 'keyed.servers'), ['front-1']);
  });
});
