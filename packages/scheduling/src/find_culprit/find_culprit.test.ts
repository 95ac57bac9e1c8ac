/**
 * Tests the attribution of crashes: guards against a sound property that is
 * refused because of what ran beside it, and against a cause that is not found.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {findCulprit, type SuspectHistory} from './find_culprit.js';

const MINIMUM_CRASHES = 3;

function history(key: string, ...crashes: string[]): SuspectHistory {
  return {key, crashes: new Set(crashes)};
}

function find(own: SuspectHistory[], others: SuspectHistory[] = []) {
  const suspects = [...own, ...others].filter(
    ({crashes}) => crashes.size >= MINIMUM_CRASHES,
  );
  return findCulprit(own, suspects, MINIMUM_CRASHES)?.key;
}

describe('findCulprit', () => {
  const deadly = history('deadly', '1', '2', '3');
  const companion = history('companion', '1', '2', '3');

  it('finds a property with as many crashes as the limit', () => {
    assert.equal(find([deadly]), 'deadly');
    assert.equal(find([history('two', '1', '2')]), undefined);
    assert.equal(find([history('new')]), undefined);
  });

  it('refuses a request that has all properties with these crashes', () => {
    assert.notEqual(find([companion, deadly]), undefined);
  });

  it('admits a request that tells two suspects apart', () => {
    assert.equal(find([companion], [deadly]), undefined);
    assert.equal(find([deadly], [companion]), undefined);
  });

  it('finds the one of two suspects that goes on to crash endpoints', () => {
    const confirmed = history('deadly', '1', '2', '3', '4');
    assert.equal(find([confirmed], [companion]), 'deadly');
    assert.equal(find([companion], [confirmed]), undefined);
  });

  it('finds a property whose crashes no other suspect explains alone', () => {
    const other = history('other', '4', '5', '6');
    const shared = history('shared', '1', '2', '3', '4', '5', '6');
    assert.equal(find([shared], [deadly, other]), 'shared');
    assert.equal(find([deadly], [shared, other]), undefined);
    assert.notEqual(find([shared, deadly], [other]), undefined);
  });

  it('finds the cause among those that ran beside it once or twice', () => {
    const beside = [history('x', '1', '2'), history('y', '3')];
    assert.equal(find([deadly], beside), 'deadly');
    assert.equal(find(beside, [deadly]), undefined);
  });
});
