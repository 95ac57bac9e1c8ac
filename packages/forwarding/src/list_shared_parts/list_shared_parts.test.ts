/**
 * Tests of the shared parts: guards against a part of one request alone that is
 * taken for a shared one.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {listSharedParts} from './list_shared_parts.js';

function list(...ids: string[]): readonly string[] {
  return listSharedParts({promptParts: ids.map(id => ({id, tokens: 1}))});
}

describe('listSharedParts', () => {
  it('leaves out the last part', () => {
    assert.deepEqual(list('a', 'b', 'own'), ['a', 'b']);
    assert.deepEqual(list('own'), []);
    assert.deepEqual(list(), []);
  });

  it('lists a part once', () => {
    assert.deepEqual(list('a', 'a', 'own'), ['a']);
  });

  it('lists a bounded number', () => {
    const ids = Array.from({length: 1_000}, (_, index) => `part ${index}`);
    assert.equal(list(...ids).length, 32);
  });
});
