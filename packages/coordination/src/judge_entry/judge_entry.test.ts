/**
 * Tests what an entry proves. Guards against a late entry of an earlier
 * incarnation that is taken for a restart, and against a restarted endpoint that
 * is never recognized since its clock was set back.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {EndpointEntry} from '../endpoint_entry/endpoint_entry.js';
import {createTestEntry} from '../endpoint_entry/endpoint_entry_fixture.js';
import {judgeEntry, type EntryContext} from './judge_entry.js';

const HEARTBEAT_MILLISECONDS = 1_000;

const CURRENT = createTestEntry({startedAt: 20, sequence: 5});

const EARLIER: EndpointEntry = {...CURRENT, startedAt: 10, sequence: 9};

function judge(entry: EndpointEntry, change: Partial<EntryContext> = {}) {
  return judgeEntry(entry, {
    current: {entry: CURRENT, heardAt: 0},
    isGracePeriod: false,
    heartbeatMilliseconds: HEARTBEAT_MILLISECONDS,
    now: 100,
    ...change,
  });
}

describe('judgeEntry', () => {
  it('takes the first entry of an endpoint', () => {
    assert.equal(judge(EARLIER, {current: undefined}), 'first');
  });

  describe('of the current incarnation', () => {
    it('is confirmed by the same and by a later entry', () => {
      assert.equal(judge(CURRENT), 'confirms');
      assert.equal(judge({...CURRENT, sequence: 6}), 'confirms');
    });

    it('is not changed by an earlier entry, or after its notice', () => {
      assert.equal(judge({...CURRENT, sequence: 4}), 'outdated');
      const draining = {...CURRENT, state: 'draining' as const};
      const current = {entry: draining, heardAt: 0};
      assert.equal(judge({...CURRENT, sequence: 6}, {current}), 'outdated');
    });
  });

  describe('of an incarnation that started later', () => {
    const later = {...CURRENT, startedAt: 30, sequence: 1};

    it('replaces the current one', () => {
      assert.equal(judge(later), 'replaces');
      assert.equal(judge(later, {isGracePeriod: true}), 'replaces');
    });

    it('has to go on to write if it was replaced before', () => {
      const next = {...later, sequence: 2};
      const context = {replacedEntry: later, now: 1_500};
      assert.equal(judge(next, context), 'competes');
      assert.equal(
        judge({...later, sequence: 3}, {...context, competingEntry: next}),
        'replaces',
      );
    });
  });

  describe('of an incarnation that started earlier', () => {
    const next = {...EARLIER, sequence: 10};

    it('does not replace one that was heard lately', () => {
      assert.equal(judge(EARLIER), 'competes');
      assert.equal(judge(next, {competingEntry: EARLIER}), 'competes');
    });

    it('replaces one that is silent while it goes on to write', () => {
      const silent = {now: 1_500, competingEntry: EARLIER};
      assert.equal(judge(next, silent), 'replaces');
      assert.equal(
        judge(next, {...silent, replacedEntry: EARLIER}),
        'replaces',
      );
      assert.equal(judge(next, {...silent, now: 1_499}), 'competes');
    });

    it('does not replace it by the same entry again', () => {
      const silent = {now: 2_900, competingEntry: EARLIER};
      assert.equal(judge(EARLIER, silent), 'competes');
      assert.equal(judge({...EARLIER, sequence: 8}, silent), 'competes');
    });

    it('replaces one whose lease has expired, unless it was replaced', () => {
      assert.equal(judge(EARLIER, {now: 3_000}), 'replaces');
      const replacedEntry = {...EARLIER, sequence: 8};
      assert.equal(judge(EARLIER, {now: 3_000, replacedEntry}), 'competes');
    });

    it('is not believed while the store may return old entries', () => {
      const context = {now: 9_000, competingEntry: EARLIER};
      assert.equal(judge(next, {...context, isGracePeriod: true}), 'outdated');
    });

    it('is not believed if the current one has written after it', () => {
      const context = {now: 9_000, competingEntry: EARLIER};
      assert.equal(
        judge(next, {...context, isFollowedByCurrent: true}),
        'outdated',
      );
    });
  });

  describe('of an incarnation whose start is not known', () => {
    const other = {...CURRENT, startedAt: undefined, softwareVersion: 'v2'};

    it('replaces the current one, unless it was replaced before', () => {
      assert.equal(judge(other), 'replaces');
      const replacedEntry = {...other, sequence: 4};
      assert.equal(judge(other, {replacedEntry}), 'competes');
    });

    it('replaces a silent one although it was replaced before', () => {
      const replacedEntry = {...other, sequence: 4};
      const context = {replacedEntry, competingEntry: other, now: 1_500};
      assert.equal(judge({...other, sequence: 6}, context), 'replaces');
    });
  });
});
