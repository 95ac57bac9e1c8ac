/**
 * Tests of the membership view: guards against new work for a leaving instance
 * while the membership list is stale, and against a replacement under the same
 * name that stays excluded.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {Member} from '@briarpin/messages';

import {MembershipView} from './membership_view.js';

function member(address: string, state: Member['state'] = 'live'): Member {
  return {
    instance: 'engine-1',
    service: 's',
    address,
    availabilityZone: 'a',
    region: 'r',
    state,
  };
}

describe('MembershipView', () => {
  describe('when an instance reports that it is leaving', () => {
    it('excludes it while the list still shows it as live', () => {
      const view = new MembershipView();
      view.update([member('h:1')]);
      view.recordLeaving(member('h:1'), true);
      view.update([member('h:1')]);
      assert.deepEqual(view.listLive('s'), []);
    });

    it('includes a replacement with the same name and another address', () => {
      const view = new MembershipView();
      view.update([member('h:1')]);
      view.recordLeaving(member('h:1'), true);
      view.update([member('h:2')]);
      assert.equal(view.listLive('s').length, 1);
    });
  });

  it('excludes an instance that the list shows as leaving', () => {
    const view = new MembershipView();
    view.update([member('h:1', 'leaving')]);
    assert.deepEqual(view.listLive('s'), []);
    assert.equal(view.find('engine-1')?.state, 'leaving');
  });
});
