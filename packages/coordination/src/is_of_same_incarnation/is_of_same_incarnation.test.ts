/**
 * Tests the comparison of incarnations. Guards against a restart with other
 * software that is overlooked as the endpoint states no start.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {isOfSameIncarnation} from './is_of_same_incarnation.js';

describe('isOfSameIncarnation', () => {
  const entry = {startedAt: 10, softwareVersion: 'v1'};
  const unknownStart = {startedAt: undefined, softwareVersion: 'v1'};

  it('holds for the same start and software', () => {
    assert.equal(isOfSameIncarnation(entry, {...entry}), true);
    assert.equal(isOfSameIncarnation(unknownStart, {...unknownStart}), true);
  });

  it('does not hold for another start or other software', () => {
    assert.equal(isOfSameIncarnation(entry, {...entry, startedAt: 9}), false);
    assert.equal(isOfSameIncarnation(entry, unknownStart), false);
    assert.equal(
      isOfSameIncarnation(unknownStart, {
        ...unknownStart,
        softwareVersion: 'v2',
      }),
      false,
    );
  });
});
