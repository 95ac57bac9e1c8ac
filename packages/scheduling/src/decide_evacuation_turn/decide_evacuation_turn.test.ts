/**
 * Tests that gateways move their runs off an engine one after another, and
 * that an unresponsive gateway does not block the others until the engine
 * stops.
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
  it('lets exactly one gateway start when all have the same view', () => {
    const starting = ORDER.filter(gateway =>
      decide(
        gateway,
        ORDER.filter(other => other !== gateway).map(other =>
          createPeer(other),
        ),
      ),
    );
    assert.deepEqual(starting, ['first']);
  });

  it('lets a gateway start once those ahead have no runs', () => {
    assert.equal(decide('third', [createPeer('second')]), false);
    assert.equal(decide('third', []), true);
  });

  it('does not wait for gateways later in the order', () => {
    assert.equal(decide('first', [createPeer('second')]), true);
  });

  describe('an unresponsive gateway ahead', () => {
    it('is skipped after its last report has timed out', () => {
      const silent = createPeer('first', {ageMilliseconds: 2_000});
      assert.equal(decide('second', [silent]), true);
    });

    it('is waited for while its number of runs decreases', () => {
      const peers = [createPeer('first', {movableRuns: 2})];
      assert.equal(decide('second', peers, 900, 100), false);
    });

    it('is waited for no longer than the expected time of one move', () => {
      const peers = [createPeer('first', {movableRuns: 2})];
      assert.equal(decide('second', peers, 600, 600), true);
    });

    it('is waited for only while enough time remains for one move', () => {
      const peers = [createPeer('first', {movableRuns: 50})];
      assert.equal(decide('second', peers, 1_100), true);
    });
  });
});
