/**
 * Tests which gateways read for all: guards against readers that do not reach
 * the store, and against all gateways that retry as readers in an outage.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {selectReadersOf} from './select_readers_of.js';

const GATEWAYS = Array.from({length: 20}, (_, index) => `front-${index}`);
const TOPIC = 'keyed.op';

/** Selects readers at a gateway that hears of all others. */
function select(
  gateway: string,
  unreachableMilliseconds: ReadonlyMap<string, number>,
): readonly string[] {
  const others = GATEWAYS.filter(name => name !== gateway);
  const ageOf = (name: string) => unreachableMilliseconds.get(name) ?? 0;
  return selectReadersOf(TOPIC, {
    mesh: {
      gateway,
      reachableGateways: others,
      findGatewaysReachingStore: maximum =>
        others.filter(name => ageOf(name) < maximum),
    },
    store: {unreachableMilliseconds: ageOf(gateway)},
  });
}

/** Gateways that take themselves for readers. */
function findReaders(unreachable: ReadonlyMap<string, number>): string[] {
  return GATEWAYS.filter(name => select(name, unreachable).includes(name));
}

describe('selectReadersOf', () => {
  it('selects the same three at every gateway', () => {
    assert.equal(findReaders(new Map()).length, 3);
  });

  it('replaces readers that the store does not answer', () => {
    const before = findReaders(new Map());
    const unreachable = new Map(before.map(name => [name, 5_000]));
    const after = findReaders(unreachable);
    assert.equal(after.length, 3);
    assert.ok(after.every(name => !before.includes(name)));
  });

  it('keeps three readers while the store answers nobody', () => {
    const unreachable = new Map(GATEWAYS.map(name => [name, 5_000]));
    assert.equal(findReaders(unreachable).length, 3);
  });

  it('selects itself while it knows no other gateway', () => {
    const readers = selectReadersOf(TOPIC, {
      mesh: {
        gateway: 'front-1',
        reachableGateways: [],
        findGatewaysReachingStore: () => [],
      },
      store: {unreachableMilliseconds: Number.POSITIVE_INFINITY},
    });
    assert.deepEqual(readers, ['front-1']);
  });
});
