/**
 * Tests the division of the rate of a cold endpoint: guards against gateways that
 * together send more than the endpoint tolerates, also while their lists of
 * gateways differ, and against a rate that is left unused.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {computeColdShare} from './compute_cold_share.js';

const MAXIMUM_GATEWAYS = 400;
const RATES = [1, 2, 7, 10, 36, 100, 450];

/** Bounds of the deployments that state a rate. */
const COLD_OVERAGE = 1.5;
const COLD_SLACK = 5;

function computeRequests(
  requestsPerSecond: number,
  gatewayCount: number,
  rank: number,
): number {
  return computeColdShare({requestsPerSecond, gatewayCount, rank}).requests;
}

/** Sums a value over the positions 0 to count - 1. */
function sum(count: number, compute: (rank: number) => number): number {
  return Array.from({length: count}, (_, rank) => compute(rank)).reduce(
    (total, value) => total + value,
    0,
  );
}

describe('computeColdShare', () => {
  for (const rate of RATES) {
    it(`divides ${rate} per second completely among equal lists`, () => {
      for (let count = 1; count <= MAXIMUM_GATEWAYS; count += 1) {
        const total = sum(count, rank => computeRequests(rate, count, rank));
        assert.equal(total, rate, `${count} gateways`);
      }
    });

    // Removing a gateway moves those behind it up by one position. Each gateway
    // is taken to know the list in which its share is larger.
    it(`keeps ${rate} per second within the bounds when lists differ by one`, () => {
      const limit = rate * COLD_OVERAGE + COLD_SLACK;
      for (let count = 1; count < MAXIMUM_GATEWAYS; count += 1) {
        for (const added of [0, Math.floor(count / 2), count]) {
          const total = sum(count + 1, rank => {
            const more = computeRequests(rate, count + 1, rank);
            const rankBefore = rank > added ? rank - 1 : rank;
            const fewer = computeRequests(rate, count, rankBefore);
            return rank === added ? more : Math.max(more, fewer);
          });
          assert.ok(total <= limit, `${total} with ${count} gateways`);
        }
      }
    });
  }

  it('rounds a rate that is no whole number down', () => {
    assert.equal(computeRequests(3.9, 1, 0), 3);
  });

  it('allows one gateway one request in a longer window below one per second', () => {
    const input = {requestsPerSecond: 0.5, gatewayCount: 3};
    assert.deepEqual(
      [0, 1, 2].map(rank => computeColdShare({...input, rank}).requests),
      [1, 0, 0],
    );
    const {windowMilliseconds} = computeColdShare({...input, rank: 0});
    assert.equal(windowMilliseconds, 2_500);
  });
});
