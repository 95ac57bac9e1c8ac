/**
 * Tests that a generation is stopped for its last copy only when the pause will
 * be short, but in any case before its engine stops.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {decideStopAndCopy, type CopyRound} from './decide_stop_and_copy.js';

function decide(change: Partial<CopyRound>): boolean {
  return decideStopAndCopy({
    rounds: 1,
    durationMilliseconds: 500,
    idleLinkMilliseconds: 200,
    targetGapMilliseconds: 180,
    ...change,
  });
}

describe('decideStopAndCopy', () => {
  it('stops the generation after a first round over an idle link', () => {
    assert.equal(decide({durationMilliseconds: 230}), true);
    assert.equal(decide({durationMilliseconds: 500}), false);
  });

  it('stops the generation once a round fits into the target pause', () => {
    assert.equal(decide({rounds: 2, durationMilliseconds: 230}), false);
    assert.equal(decide({rounds: 2, durationMilliseconds: 30}), true);
  });

  it('stops the generation after the maximum number of rounds', () => {
    assert.equal(decide({rounds: 5}), true);
  });
});
