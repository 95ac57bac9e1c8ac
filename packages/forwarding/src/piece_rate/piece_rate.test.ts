/**
 * Tests which responses arrive in too many pieces. Guards against tiny pieces
 * without end that take the time of the process, and against a sound stream that
 * is broken off.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {PieceRate} from './piece_rate.js';

function createRate() {
  const clock = {milliseconds: 0, now: () => clock.milliseconds};
  return {clock, rate: new PieceRate(clock)};
}

describe('PieceRate', () => {
  it('bears a long stream of an event each millisecond', () => {
    const {clock, rate} = createRate();
    for (let event = 0; event < 100_000; event += 1) {
      assert.equal(rate.record(2), false);
      clock.milliseconds += 1;
    }
  });

  it('bears the events of a pause of ten seconds at once', () => {
    const {rate} = createRate();
    assert.equal(rate.record(20_000), false);
  });

  it('finds chunks of one byte without end', () => {
    const {clock, rate} = createRate();
    const turns = Array.from({length: 4}, () => {
      clock.milliseconds += 10;
      return rate.record(11_000);
    });
    assert.deepEqual(turns, [false, false, true, true]);
  });
});
