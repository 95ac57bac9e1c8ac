/**
 * Tests which reads confirm a copy when the store may have returned from an old
 * copy of its own. Guards against a process that starts then and takes what the
 * store has for the newest, although others know of more.
 */
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {EvacuatedZones} from '../evacuated_zones/evacuated_zones.js';
import {StalenessTracker} from '../staleness_tracker/staleness_tracker.js';
import {VirtualClock} from '../virtual_clock/virtual_clock.js';
import {FreshnessExchange} from './freshness_exchange.js';

/** Era of a store that has returned from a copy once. */
const RESTORED_ERA = 2;

describe('a read of the topic', () => {
  let clock: VirtualClock;
  let tracker: StalenessTracker;
  let version: number;
  let hasHeardAllOthers: boolean;
  let behind: number[];
  let exchange: FreshnessExchange;

  beforeEach(() => {
    clock = new VirtualClock();
    const now = () => clock.now();
    tracker = new StalenessTracker({
      monotonicMilliseconds: now,
      wallClockMilliseconds: now,
    });
    version = 7;
    hasHeardAllOthers = false;
    behind = [];
    exchange = new FreshnessExchange({
      clock,
      random: () => 0.5,
      stalenessTracker: tracker,
      boundMilliseconds: 4_000,
      version: () => version,
      evacuatedZones: new EvacuatedZones({
        onEvacuated: () => undefined,
        onRestored: () => undefined,
      }),
      isReader: () => true,
      findReaders: () => [],
      sendMessage: () => undefined,
      hasHeardAllOthers: () => hasHeardAllOthers,
      onStoreBehind: newest => behind.push(newest),
      onConfirmed: () => undefined,
      onMalformed: reason => assert.fail(reason),
    });
  });

  const read = (era?: number) => {
    exchange.recordReadStart();
    exchange.recordRead({stateAt: tracker.readTime(), era});
  };

  const isConfirmed = () => Number.isFinite(tracker.ageMilliseconds());

  for (const era of [undefined, 0, 1]) {
    it(`confirms at once in the era ${era}`, () => {
      read(era);
      assert.equal(isConfirmed(), true);
    });
  }

  it('confirms nothing while another process has a newer version', () => {
    exchange.recordVersion(9);
    read(1);
    read(1);
    assert.equal(isConfirmed(), false);
    assert.deepEqual(behind, [9]);
    version = 9;
    read(1);
    assert.equal(isConfirmed(), true);
  });

  it('leaves an earlier confirmation as it is', async () => {
    read(1);
    await clock.advance(100);
    exchange.recordVersion(9);
    read(RESTORED_ERA);
    assert.equal(tracker.ageMilliseconds(), 100);
  });

  describe('of a store that has returned from a copy', () => {
    it('waits until all others have been heard', async () => {
      read(RESTORED_ERA);
      exchange.recordVersion(7);
      assert.equal(isConfirmed(), false);
      await clock.advance(50);
      hasHeardAllOthers = true;
      exchange.recordVersion(7);
      assert.equal(tracker.ageMilliseconds(), 50);
    });

    it('confirms nothing once one of them has a newer version', () => {
      read(RESTORED_ERA);
      hasHeardAllOthers = true;
      exchange.recordVersion(9);
      read(RESTORED_ERA);
      assert.equal(isConfirmed(), false);
    });

    it('is trusted after a second if nobody is heard', async () => {
      read(RESTORED_ERA);
      await clock.advance(1_000);
      assert.equal(isConfirmed(), false);
      read(RESTORED_ERA);
      assert.equal(isConfirmed(), true);
    });

    it('is trusted by a process that has read it before', () => {
      read(1);
      read(RESTORED_ERA);
      assert.equal(tracker.ageMilliseconds(), 0);
    });
  });

  it('is followed by a pause while it confirms nothing', async () => {
    const {signal} = new AbortController();
    exchange.recordVersion(9);
    read(1);
    read(1);
    let isDue = false;
    void exchange.waitForNextRead(signal).then(() => (isDue = true));
    await clock.advance(100);
    assert.equal(isDue, false);
    await clock.advance(100);
    assert.equal(isDue, true);
  });
});
