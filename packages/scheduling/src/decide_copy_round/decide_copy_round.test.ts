/**
 * Tests of deciding on the last copy.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {decideLastCopy} from './decide_copy_round.js';

describe('decideLastCopy', () => {
  it('stops the run once a copy fits into the expected pause', () => {
    const targetGapMilliseconds = 180;
    const decide = (durationMilliseconds: number) =>
      decideLastCopy({rounds: 1, durationMilliseconds, targetGapMilliseconds});
    assert.equal(decide(250), false);
    assert.equal(decide(30), true);
  });

  it('stops it in any case before the engine ends', () => {
    const round = {durationMilliseconds: 400, targetGapMilliseconds: 180};
    assert.equal(decideLastCopy({rounds: 2, ...round}), false);
    assert.equal(decideLastCopy({rounds: 5, ...round}), true);
  });
});
