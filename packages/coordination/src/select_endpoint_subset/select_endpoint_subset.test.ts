/**
 * Tests of subset selection by rendezvous hashing. Guards against overloaded
 * endpoints, against large changes of a subset when one endpoint is removed,
 * and against a gateway without endpoints when its zone is unavailable.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {Member} from '@briarpin/messages';

import {selectLogPollers} from '../select_log_pollers/select_log_pollers.js';
import {selectEndpointSubset} from './select_endpoint_subset.js';

const MEMBERS: readonly Member[] = Array.from({length: 600}, (_, index) => ({
  instance: `engine-${index}`,
  service: 's',
  address: `h:${index}`,
  availabilityZone: `zone-${index % 5}`,
  region: index % 5 < 3 ? 'north' : 'south',
  state: 'live' as const,
}));

function select(instance: string, members = MEMBERS): readonly string[] {
  return selectEndpointSubset(members, {
    instance,
    availabilityZone: 'zone-0',
    region: 'north',
    size: 8,
  }).map(member => member.instance);
}

describe('selectEndpointSubset', () => {
  it('selects half from its own zone and a quarter from other regions', () => {
    const selected = MEMBERS.filter(member =>
      select('gateway-1').includes(member.instance),
    );
    const local = selected.filter(
      member => member.availabilityZone === 'zone-0',
    );
    const far = selected.filter(member => member.region === 'south');
    assert.deepEqual([selected.length, local.length, far.length], [8, 4, 2]);
  });

  it('distributes gateways evenly over endpoints', () => {
    const counts = new Map<string, number>();
    for (let index = 0; index < 370; index += 1) {
      for (const instance of select(`gateway-${index}`)) {
        counts.set(instance, (counts.get(instance) ?? 0) + 1);
      }
    }
    assert.ok(Math.max(...counts.values()) <= 30);
  });

  it('replaces only the removed endpoint', () => {
    const before = select('gateway-1');
    const remaining = MEMBERS.filter(member => member.instance !== before[0]);
    const after = select('gateway-1', remaining);
    const kept = after.filter(instance => before.includes(instance));
    assert.equal(kept.length, 7);
  });

  it('fills the subset from other zones when its zone is unavailable', () => {
    const remaining = MEMBERS.filter(
      member => member.availabilityZone !== 'zone-0',
    );
    assert.equal(select('gateway-1', remaining).length, 8);
  });
});

describe('selectLogPollers', () => {
  it('selects three live members of the zone regardless of list order', () => {
    const pollers = selectLogPollers(MEMBERS, 'zone-1');
    assert.equal(pollers.length, 3);
    assert.deepEqual(
      selectLogPollers([...MEMBERS].reverse(), 'zone-1'),
      pollers,
    );
  });
});
