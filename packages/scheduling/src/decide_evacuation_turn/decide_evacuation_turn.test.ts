/**
 * Tests of the order in which gateways copy.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {
  decideEvacuationTurn,
  type EvacuationPeer,
} from './decide_evacuation_turn.js';

const ORDER = ['first', 'second', 'third'];

function createPeer(
  gateway: string,
  change?: Partial<EvacuationPeer>,
): EvacuationPeer {
  return {gateway, movableRuns: 1, ageMilliseconds: 10, ...change};
}

function decide(
  gateway: string,
  peers: readonly EvacuationPeer[],
  waitedMilliseconds = 0,
  stalledMilliseconds = 0,
): boolean {
  return decideEvacuationTurn(peers, {
    gateway,
    order: ORDER,
    waitedMilliseconds,
    stalledMilliseconds,
  });
}

describe('decideEvacuationTurn', () => {
  it('lets exactly one of those that see the same begin', () => {
    const begins = ORDER.filter(gateway =>
      decide(
        gateway,
        ORDER.filter(other => other !== gateway).map(other =>
          createPeer(other),
        ),
      ),
    );
    assert.deepEqual(begins, ['first']);
  });

  it('hands over to the next that still has runs', () => {
    assert.equal(decide('third', [createPeer('second')]), false);
    assert.equal(decide('third', []), true);
  });

  it('does not wait for those behind it', () => {
    assert.equal(decide('first', [createPeer('second')]), true);
  });

  describe('a gateway ahead that is gone', () => {
    it('is passed over once it is silent', () => {
      const silent = createPeer('first', {ageMilliseconds: 2_000});
      assert.equal(decide('second', [silent]), true);
    });

    it('is waited for while its runs become fewer', () => {
      const peers = [createPeer('first', {movableRuns: 2})];
      assert.equal(decide('second', peers, 900, 100), false);
    });

    it('is waited for no longer than one run would take', () => {
      const peers = [createPeer('first', {movableRuns: 2})];
      assert.equal(decide('second', peers, 600, 600), true);
    });

    it('never takes the time that is needed for a move', () => {
      const peers = [createPeer('first', {movableRuns: 50})];
      assert.equal(decide('second', peers, 1_100), true);
    });
  });
});
