/**
 * Tests the selection of keepers: guards against processes that disagree about
 * it, and against keepers that get more than their share.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {KeeperSelector} from './keeper_selector.js';

const NAMES = Array.from({length: 370}, (_, index) => `front-east-${index}`);

describe('KeeperSelector', () => {
  const selector = new KeeperSelector();

  it('selects all when there are few', () => {
    assert.deepEqual(selector.select(['a', 'b'], 'r', 3), ['a', 'b']);
  });

  it('does not depend on the order of the names', () => {
    const selected = selector.select(NAMES, 'r-1', 3);
    assert.equal(selected.length, 3);
    assert.deepEqual(selector.select([...NAMES].reverse(), 'r-1', 3), selected);
  });

  it('keeps the others when one of the selected is lost', () => {
    const [lost, ...others] = selector.select(NAMES, 'r-2', 4);
    const rest = NAMES.filter(name => name !== lost);
    assert.deepEqual(selector.select(rest, 'r-2', 3), others);
  });

  it('spreads the keys over all processes', () => {
    const counts = new Map<string, number>();
    for (let key = 0; key < 10_000; key += 1) {
      for (const name of selector.select(NAMES, `${key * 7_919}`, 3)) {
        counts.set(name, (counts.get(name) ?? 0) + 1);
      }
    }
    const mean = 30_000 / NAMES.length;
    assert.equal(counts.size, NAMES.length);
    assert.ok(Math.max(...counts.values()) < 2 * mean);
  });
});
