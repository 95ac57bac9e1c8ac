/**
 * Tests of deciding on the last copy.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {decideLastCopy, type CopyRound} from './decide_copy_round.js';

function decide(change: Partial<CopyRound>): boolean {
  return decideLastCopy({
    rounds: 1,
    durationMilliseconds: 500,
    idleLinkMilliseconds: 200,
    targetGapMilliseconds: 180,
    ...change,
  });
}

describe('decideLastCopy', () => {
  it('stops the run after a first round on an idle link', () => {
    assert.equal(decide({durationMilliseconds: 230}), true);
    assert.equal(decide({durationMilliseconds: 500}), false);
  });

  it('stops it once a round fits into the expected pause', () => {
    assert.equal(decide({rounds: 2, durationMilliseconds: 230}), false);
    assert.equal(decide({rounds: 2, durationMilliseconds: 30}), true);
  });

  it('stops it in any case before the engine ends', () => {
    assert.equal(decide({rounds: 5}), true);
  });
});
