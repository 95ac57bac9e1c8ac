/**
 * Tests the share of memory that an evacuation would fill: guards against
 * versions that are overloaded because their runs can go nowhere else, and
 * against versions that are avoided because they are new.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {
  computeEvacuationShare,
  type EngineMemory,
} from './compute_evacuation_share.js';

const MEMORY_TOKENS = 1_000;

function engine(
  usedTokens: number,
  softwareVersion = 'v1',
  availabilityZone = 'east-1',
): EngineMemory {
  return {usedTokens, softwareVersion, availabilityZone};
}

function compute(
  ready: readonly [EngineMemory, ...EngineMemory[]],
  draining: readonly EngineMemory[] = [],
): number {
  return computeEvacuationShare(ready[0], {ready, draining}, MEMORY_TOKENS);
}

describe('computeEvacuationShare', () => {
  describe('of a service with one software version', () => {
    it('counts the other engines of the zone', () => {
      const elsewhere = engine(900, 'v1', 'west-1');
      assert.equal(compute([engine(300), engine(200), elsewhere]), 0.5);
    });

    it('is infinite for the only engine of a zone', () => {
      const share = compute([engine(0), engine(0, 'v1', 'west-1')]);
      assert.equal(share, Number.POSITIVE_INFINITY);
    });
  });

  describe('of a service with several software versions', () => {
    it('does not count engines of other versions', () => {
      const others = [engine(0, 'v2'), engine(0, 'v2')];
      const share = compute([engine(300), engine(200), ...others]);
      assert.equal(share, 0.5);
    });

    it('keeps room for the runs of draining engines of the version', () => {
      const others = [engine(0, 'v2'), engine(0, 'v2')];
      const draining = [engine(600), engine(700), engine(800, 'v2')];
      const share = compute([engine(100), engine(100), ...others], draining);
      assert.equal(share, 1.5);
    });

    it('keeps room in the other zones too', () => {
      const elsewhere = engine(100, 'v1', 'west-1');
      const draining = [engine(2_800, 'v1', 'west-1')];
      const share = compute(
        [engine(100), engine(0), elsewhere, engine(0, 'v2')],
        draining,
      );
      assert.equal(share, 1.5);
    });

    it('is low for an idle engine that alone has a new version', () => {
      const others = [engine(900), engine(900)];
      assert.equal(compute([engine(100, 'v2'), ...others]), 0.1);
    });
  });
});
