/**
 * Tests the accounting of the memory of a gateway.
 *
 * Guards against memory that is counted twice or never released, and against
 * responses that wait for each other.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import fc from 'fast-check';

import {MemoryBudget, type MemoryAccount} from './memory_budget.js';

const LIMIT_BYTES = 1_000_000;

/** Records whether the wait for room has ended. */
function watch(granted: Promise<void> | undefined): {isGranted: boolean} {
  const state = {isGranted: granted === undefined};
  void granted?.then(() => (state.isGranted = true));
  return state;
}

const settle = () => new Promise(resolve => setImmediate(resolve));

describe('MemoryBudget', () => {
  describe('bodies', () => {
    it('are rejected beyond three quarters of the limit', () => {
      const budget = new MemoryBudget(LIMIT_BYTES);
      const [first, second] = [budget.openAccount(), budget.openAccount()];
      assert.equal(first.tryHoldBody(700_000), true);
      assert.equal(second.tryHoldBody(50_001), false);
      assert.equal(second.tryHoldBody(50_000), true);
      assert.equal(budget.heldBytes, 750_000);
    });

    it('are counted by their whole size as they grow', () => {
      const budget = new MemoryBudget(LIMIT_BYTES);
      const account = budget.openAccount();
      [1_000, 2_000, 3_000].forEach(bytes => account.tryHoldBody(bytes));
      assert.equal(budget.heldBytes, 3_000);
      account.releaseBody();
      assert.equal(budget.heldBytes, 0);
    });

    it('that are empty are accepted when there is no room', () => {
      const budget = new MemoryBudget(LIMIT_BYTES);
      budget.openAccount().setUnsentBytes(LIMIT_BYTES);
      assert.equal(budget.openAccount().tryHoldBody(0), true);
    });

    it('are always accepted without a limit', () => {
      const budget = new MemoryBudget(Number.POSITIVE_INFINITY);
      assert.equal(budget.openAccount().tryHoldBody(1e12), true);
    });
  });

  describe('responses', () => {
    it('wait for room in the order of their arrival', async () => {
      const budget = new MemoryBudget(LIMIT_BYTES);
      const accounts = [1, 2, 3].map(() => budget.openAccount());
      const waits = accounts.map(account =>
        watch(account.holdResponse(600_000, 600_000)),
      );
      const listGranted = () => waits.map(({isGranted}) => isGranted);
      assert.deepEqual(listGranted(), [true, false, false]);
      accounts[0]?.close();
      await settle();
      assert.deepEqual(listGranted(), [true, true, false]);
      accounts[1]?.close();
      await settle();
      assert.deepEqual(listGranted(), [true, true, true]);
    });

    it('that are small do not wait', () => {
      const budget = new MemoryBudget(LIMIT_BYTES);
      budget.openAccount().setUnsentBytes(2 * LIMIT_BYTES);
      const account = budget.openAccount();
      assert.equal(account.holdResponse(65_536, LIMIT_BYTES), undefined);
    });

    it('proceed one at a time when bodies leave no room', () => {
      const budget = new MemoryBudget(LIMIT_BYTES);
      budget.openAccount().tryHoldBody(750_000);
      const account = budget.openAccount();
      assert.equal(account.holdResponse(400_000, 400_000), undefined);
      assert.notEqual(
        budget.openAccount().holdResponse(400_000, 400_000),
        undefined,
      );
    });

    it('of unknown size hold the largest size until it is known', () => {
      const budget = new MemoryBudget(LIMIT_BYTES);
      const account = budget.openAccount();
      void account.holdResponse(70_000, 400_000);
      assert.equal(budget.heldBytes, 400_000);
      account.setResponseBytes(80_000);
      assert.equal(budget.heldBytes, 80_000);
    });

    it('that end while they wait make room for the next one', async () => {
      const budget = new MemoryBudget(LIMIT_BYTES);
      const [first, second, third] = [1, 2, 3].map(() => budget.openAccount());
      void first?.holdResponse(600_000, 600_000);
      const ended = watch(second?.holdResponse(900_000, 900_000));
      const next = watch(third?.holdResponse(300_000, 300_000));
      second?.close();
      await settle();
      assert.equal(ended.isGranted, false);
      assert.equal(next.isGranted, true);
      assert.equal(budget.heldBytes, 900_000);
    });
  });

  describe('a closed account', () => {
    it('holds nothing, also when bytes come later', () => {
      const budget = new MemoryBudget(LIMIT_BYTES);
      const account = budget.openAccount();
      account.tryHoldBody(10);
      account.close();
      account.setUnsentBytes(10);
      void account.holdResponse(400_000, 400_000);
      account.tryHoldBody(10);
      account.close();
      assert.equal(budget.heldBytes, 0);
    });
  });

  it('holds nothing once all accounts are closed, after any calls', () => {
    const calls: ReadonlyArray<
      (account: MemoryAccount, bytes: number) => unknown
    > = [
      (account, bytes) => account.tryHoldBody(bytes),
      (account, bytes) => account.holdResponse(bytes, bytes + 50_000),
      (account, bytes) => account.setResponseBytes(bytes),
      (account, bytes) => account.setUnsentBytes(bytes),
      account => account.releaseBody(),
      account => account.releaseResponse(),
      account => account.close(),
    ];
    const step = fc.tuple(
      fc.integer({min: 0, max: 3}),
      fc.integer({min: 0, max: calls.length - 1}),
      fc.integer({min: 0, max: 600_000}),
    );
    fc.assert(
      fc.property(fc.array(step), steps => {
        const budget = new MemoryBudget(LIMIT_BYTES);
        const accounts = [0, 1, 2, 3].map(() => budget.openAccount());
        for (const [index, call, bytes] of steps) {
          const account = accounts[index];
          assert.ok(account);
          calls[call]?.(account, bytes);
          assert.ok(budget.heldBytes >= 0);
        }
        accounts.forEach(account => account.close());
        assert.equal(budget.heldBytes, 0);
      }),
    );
  });
});
