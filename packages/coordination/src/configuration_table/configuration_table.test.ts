/**
 * Tests of applying changes and merging updates. Guards against two accepted
 * changes on one base, and against a key that reverts to an older value when
 * updates or restatements arrive out of order.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {ConfigurationChange} from '@briarpin/messages';
import fc from 'fast-check';

import {ConfigurationTable} from './configuration_table.js';

const KEYS = ['defaults.weight', 'exceptions.a', 'services.s'] as const;

/** Arbitrary changes in log order, with arbitrary base offsets. */
const changes = fc
  .array(
    fc.record({
      key: fc.constantFrom(...KEYS),
      value: fc.oneof(fc.integer(), fc.constant(null)),
      baseOffset: fc.nat({max: 12}),
      changeId: fc.nat({max: 15}).map(String),
    }),
    {maxLength: 12},
  )
  .map(changeList =>
    changeList.map((change): ConfigurationChange => ({
      kind: 'change',
      ...change,
    })),
  );

function applyChanges(
  changeList: readonly ConfigurationChange[],
  through = changeList.length,
): ConfigurationTable {
  const table = new ConfigurationTable();
  changeList
    .slice(0, through)
    .forEach((change, index) => table.applyChange(change, index + 1));
  return table;
}

function listSortedEntries(table: ConfigurationTable): unknown {
  return table
    .createRestatement()
    .entries.sort((a, b) => (a.key < b.key ? -1 : 1));
}

describe('ConfigurationTable', () => {
  describe('when operators change one key concurrently', () => {
    it('accepts exactly one of several changes with the same base', () => {
      fc.assert(
        fc.property(fc.integer({min: 2, max: 6}), changeCount => {
          const table = new ConfigurationTable();
          const change = {kind: 'change', key: 'k', value: 1} as const;
          table.applyChange({...change, changeId: 'first', baseOffset: 0}, 1);
          const results = Array.from({length: changeCount}, (_, index) =>
            table.applyChange(
              {...change, changeId: `racer-${index}`, baseOffset: 1},
              index + 2,
            ),
          );
          const accepted = results.filter(result => result === 'accepted');
          assert.equal(accepted.length, 1);
          assert.equal(table.find('k')?.changeId, 'racer-0');
        }),
      );
    });

    it('accepts a change once when its append was repeated', () => {
      const table = new ConfigurationTable();
      const change: ConfigurationChange = {
        kind: 'change',
        changeId: 'c',
        key: 'k',
        value: 1,
        baseOffset: 0,
      };
      assert.equal(table.applyChange(change, 1), 'accepted');
      assert.equal(table.applyChange(change, 2), 'duplicate');
      assert.equal(table.find('k')?.offset, 1);
    });
  });

  describe('when updates from peers arrive in any order', () => {
    it('never reverts a key and converges to the state of the log', () => {
      fc.assert(
        fc.property(
          changes,
          fc.array(fc.nat({max: 12}), {maxLength: 20}),
          (changeList, versions) => {
            const table = new ConfigurationTable();
            for (const version of [...versions, changeList.length]) {
              const before = new Map(
                KEYS.map(key => [key, table.find(key)?.offset ?? 0]),
              );
              const peer = applyChanges(
                changeList,
                Math.min(version, changeList.length),
              );
              table.merge(peer.changesSince(Math.min(version, table.version)));
              for (const key of KEYS) {
                const offset = table.find(key)?.offset ?? 0;
                assert.ok(offset >= (before.get(key) ?? 0));
              }
            }
            assert.deepEqual(
              listSortedEntries(table),
              listSortedEntries(applyChanges(changeList)),
            );
          },
        ),
        {seed: 501, numRuns: 500},
      );
    });

    it('rejects an update that skips intermediate changes', () => {
      const table = new ConfigurationTable();
      const isMerged = table.merge({version: 9, baseVersion: 5, entries: []});
      assert.equal(isMerged, false);
      assert.equal(table.version, 0);
    });
  });

  describe('when a stale reader appends a restatement', () => {
    it('reverts no key, whatever version the reader had applied', () => {
      fc.assert(
        fc.property(changes, fc.nat({max: 12}), (changeList, through) => {
          const table = applyChanges(changeList);
          const before = listSortedEntries(table);
          table.applyRestatement(
            applyChanges(
              changeList,
              Math.min(through, changeList.length),
            ).createRestatement(),
          );
          assert.deepEqual(listSortedEntries(table), before);
        }),
        {seed: 502, numRuns: 500},
      );
    });
  });
});
