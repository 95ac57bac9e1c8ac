/**
 * Tests of the token window, which guard against tokens that are delivered
 * twice, out of order or to a superseded reader, and against unbounded buffers.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {Generation} from './generation.js';

const FINISHED = {
  kind: 'finished',
  finished: {finishReason: 'stop', tokenCount: 2},
} as const;

describe('Generation', () => {
  it('returns tokens appended twice once and in order', async () => {
    const generation = new Generation('a', 10);
    const reader = generation.attach();
    await generation.append(0, ['x', 'y']);
    await generation.append(1, ['y', 'z']);
    const item = await generation.read(reader, 0);
    assert.deepEqual(item, {
      kind: 'tokens',
      firstIndex: 0,
      texts: ['x', 'y', 'z'],
    });
  });

  it('blocks the producer while the window is full', async () => {
    const generation = new Generation('a', 2);
    const reader = generation.attach();
    let isAppended = false;
    const appended = generation.append(0, ['x', 'y']).then(() => {
      isAppended = true;
    });
    await generation.read(reader, 0);
    assert.equal(isAppended, false);
    void generation.read(reader, 2);
    await appended;
    assert.equal(isAppended, true);
  });

  it('supersedes a waiting reader when another attaches', async () => {
    const generation = new Generation('a', 10);
    const first = generation.attach();
    const pendingRead = generation.read(first, 0);
    const second = generation.attach();
    assert.equal((await pendingRead).kind, 'superseded');
    generation.settle(FINISHED);
    assert.equal((await generation.read(second, 0)).kind, 'end');
  });

  it('returns behind when the requested tokens are evicted', async () => {
    const generation = new Generation('a', 2);
    const reader = generation.attach();
    for (let index = 0; index < 10; index += 1) {
      void generation.append(index, [`t${index}`]);
      await generation.read(reader, index);
    }
    assert.equal((await generation.read(reader, 0)).kind, 'behind');
  });

  it('keeps the first end when it is settled twice', async () => {
    const generation = new Generation('a', 2);
    generation.settle(FINISHED);
    generation.settle({...FINISHED, kind: 'finished'});
    const item = await generation.read(generation.attach(), 0);
    assert.deepEqual(item, {kind: 'end', end: FINISHED});
  });
});
