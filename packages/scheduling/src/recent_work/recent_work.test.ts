/**
 * Tests the sums of recent work. Guards against work that counts for ever.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {RecentWork} from './recent_work.js';

describe('RecentWork', () => {
  it('sums by organisation and forgets after the window', () => {
    const work = new RecentWork();
    work.add('north', 100, 0);
    work.add('north', 50, 600);
    work.add('south', 10, 700);
    assert.deepEqual(
      [...work.sum(700)],
      [
        ['north', 150],
        ['south', 10],
      ],
    );
    assert.deepEqual(
      [...work.sum(3_200)],
      [
        ['north', 50],
        ['south', 10],
      ],
    );
    assert.deepEqual([...work.sum(60_000)], []);
  });
});
