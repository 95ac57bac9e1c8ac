/**
 * Plays fleets of which a few processes read a topic for all, in virtual time.
 *
 * Guards against calls to the store that grow with the fleet, against changes
 * that become known late when readers fail, and against a copy that counts as
 * more recent than it is.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {BOUND_MILLISECONDS, SimulatedFleet} from './simulated_fleet.js';

/** Age of the copy at which requests are no longer denied for good. */
const DENIAL_AGE_MILLISECONDS = 0.8 * BOUND_MILLISECONDS;

const SETTLE_MILLISECONDS = 5_000;
const QUIET_MILLISECONDS = 30_000;

describe('FreshnessExchange', () => {
  for (const size of [3, 30, 100]) {
    describe(`with ${size} processes`, () => {
      it('makes no more calls than the readers do while nothing changes', async () => {
        const fleet = await SimulatedFleet.start(size);
        await fleet.advance(SETTLE_MILLISECONDS);
        const before = fleet.callCount;
        await fleet.advance(QUIET_MILLISECONDS);
        const perSecond =
          (fleet.callCount - before) / (QUIET_MILLISECONDS / 1_000);
        assert.ok(perSecond <= 4, `${perSecond} calls a second`);
        assert.ok(fleet.oldestAge < DENIAL_AGE_MILLISECONDS);
        fleet.stop();
      });

      it('makes about one call a process for each change', async () => {
        const fleet = await SimulatedFleet.start(size);
        await fleet.advance(SETTLE_MILLISECONDS);
        const before = fleet.callCount;
        for (let change = 0; change < 5; change += 1) {
          fleet.publishChange();
          await fleet.advance(2_000);
        }
        const perChange = (fleet.callCount - before) / 5;
        assert.ok(perChange <= 1.3 * size + 9, `${perChange} calls a change`);
        assert.ok(fleet.slowestChange < 200, `${fleet.slowestChange} ms`);
        fleet.stop();
      });

      for (const [fault, breakReaders] of [
        ['killed', (fleet: SimulatedFleet) => fleet.killReaders()],
        ['frozen', (fleet: SimulatedFleet) => fleet.freezeReaders()],
        [
          'cut off from the store',
          (fleet: SimulatedFleet) => fleet.cutReaders(),
        ],
        [
          'cut off from all others',
          (fleet: SimulatedFleet) => fleet.muteReaders(),
        ],
      ] as const) {
        it(`learns of a change in time with all readers ${fault}`, async () => {
          const fleet = await SimulatedFleet.start(size);
          await fleet.advance(SETTLE_MILLISECONDS);
          breakReaders(fleet);
          await fleet.advance(1);
          fleet.publishChange();
          await fleet.advance(2 * BOUND_MILLISECONDS);
          assert.ok(
            fleet.slowestChange < 0.6 * BOUND_MILLISECONDS,
            `${fleet.slowestChange} ms`,
          );
          assert.ok(fleet.oldestAge < DENIAL_AGE_MILLISECONDS);
          fleet.stop();
        });
      }
    });
  }

  describe('with messages that fail', () => {
    it('keeps copies recent while a third of the messages is lost', async () => {
      const fleet = await SimulatedFleet.start(30, {lossShare: 0.33});
      await fleet.advance(SETTLE_MILLISECONDS);
      const before = fleet.callCount;
      await fleet.advance(QUIET_MILLISECONDS);
      const perSecond =
        (fleet.callCount - before) / (QUIET_MILLISECONDS / 1_000);
      assert.ok(perSecond <= 8, `${perSecond} calls a second`);
      assert.ok(fleet.oldestAge < DENIAL_AGE_MILLISECONDS);
      fleet.stop();
    });

    for (const messageDelays of [[600], [1_500], [1, 700, 3_000]]) {
      it(`claims nothing from messages that take ${messageDelays.join(', ')} ms`, async () => {
        const fleet = await SimulatedFleet.start(30, {messageDelays});
        await fleet.advance(SETTLE_MILLISECONDS);
        for (let change = 0; change < 8; change += 1) {
          fleet.publishChange();
          await fleet.advance(900);
        }
        assert.deepEqual(fleet.falseClaims, []);
        fleet.stop();
      });
    }

    it('learns of changes in time while processes see different readers', async () => {
      const fleet = await SimulatedFleet.start(30, {viewShare: 0.6});
      await fleet.advance(SETTLE_MILLISECONDS);
      for (let change = 0; change < 5; change += 1) {
        fleet.publishChange();
        await fleet.advance(BOUND_MILLISECONDS);
      }
      assert.ok(
        fleet.slowestChange < 0.6 * BOUND_MILLISECONDS,
        `${fleet.slowestChange} ms`,
      );
      assert.deepEqual(fleet.falseClaims, []);
      fleet.stop();
    });
  });

  describe('with a store that returns changes in pages', () => {
    // Guards against a process that is back at the store and takes the first page
    // for all changes, or confirms the copies of others by it.
    it('claims nothing before the last page', async () => {
      const fleet = await SimulatedFleet.start(12, {pageVersions: 1});
      await fleet.advance(SETTLE_MILLISECONDS);
      fleet.cutAll();
      await fleet.advance(BOUND_MILLISECONDS);
      for (let change = 0; change < 60; change += 1) {
        fleet.publishChange();
      }
      await fleet.advance(2 * BOUND_MILLISECONDS);
      fleet.mendAll();
      await fleet.advance(BOUND_MILLISECONDS);
      assert.deepEqual(fleet.falseClaims, []);
      assert.ok(fleet.greatestAge < DENIAL_AGE_MILLISECONDS);
      fleet.stop();
    });
  });

  describe('with processes that pause', () => {
    it('claims nothing after a pause that is not true', async () => {
      const fleet = await SimulatedFleet.start(30, {messageDelays: [120]});
      await fleet.advance(SETTLE_MILLISECONDS);
      for (let index = 0; index < 20; index += 1) {
        fleet.freeze(`process-${index}`);
      }
      fleet.publishChange();
      await fleet.advance(1_700);
      fleet.publishChange();
      await fleet.advance(1_700);
      fleet.thawAll();
      await fleet.advance(BOUND_MILLISECONDS);
      assert.deepEqual(fleet.falseClaims, []);
      fleet.stop();
    });
  });

  describe('with a store that fails', () => {
    it('claims nothing while no process reaches the store', async () => {
      const fleet = await SimulatedFleet.start(30);
      await fleet.advance(SETTLE_MILLISECONDS);
      fleet.cutAll();
      fleet.publishChange();
      await fleet.advance(2 * BOUND_MILLISECONDS);
      assert.ok(fleet.youngestAge > DENIAL_AGE_MILLISECONDS);
      assert.deepEqual(fleet.falseClaims, []);
      fleet.stop();
    });

    it('makes a third of the retries that readers would, and recovers as soon', async () => {
      const countRetries = async (fleet: SimulatedFleet) => {
        await fleet.advance(SETTLE_MILLISECONDS);
        fleet.cutAll();
        const before = fleet.callCount;
        await fleet.advance(8_000);
        return fleet.callCount - before;
      };
      // Processes that know no other one all read.
      const strangers = await SimulatedFleet.start(30, {viewShare: 0});
      const most = await countRetries(strangers);
      strangers.stop();
      const fleet = await SimulatedFleet.start(30);
      const retries = await countRetries(fleet);
      assert.ok(retries <= most / 3, `${retries} of ${most}`);
      fleet.mendAll();
      await fleet.advance(1_500);
      assert.ok(fleet.greatestAge < 1_500, `${fleet.greatestAge} ms`);
      fleet.stop();
    });

    it('does not confirm an older copy to a process that is cut off', async () => {
      const fleet = await SimulatedFleet.start(30);
      await fleet.advance(SETTLE_MILLISECONDS);
      fleet.cut('process-7');
      await fleet.advance(2 * BOUND_MILLISECONDS);
      assert.ok(fleet.ageOf('process-7') < DENIAL_AGE_MILLISECONDS);
      fleet.publishChange();
      await fleet.advance(2 * BOUND_MILLISECONDS);
      assert.ok(fleet.ageOf('process-7') > DENIAL_AGE_MILLISECONDS);
      assert.deepEqual(fleet.falseClaims, []);
      fleet.stop();
    });
  });
});
