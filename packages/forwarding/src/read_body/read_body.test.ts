/**
 * Tests how the body of a request is read within the memory of a gateway.
 *
 * Guards against a body that is collected beyond the memory, and against memory
 * that is held for a body that nobody uses or that never arrives.
 */
import assert from 'node:assert/strict';
import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {beforeEach, describe, it} from 'node:test';

import {MemoryBudget} from '../memory_budget/memory_budget.js';
import {readBody, type ReadBodyResult} from './read_body.js';

const MAXIMUM_BYTES = 1_000_000;

const settle = () => new Promise(resolve => setImmediate(resolve));

describe('readBody', () => {
  let budget: MemoryBudget;
  let source: PassThrough;
  let controller: AbortController;

  beforeEach(() => {
    // Three quarters are for bodies.
    budget = new MemoryBudget(800_000);
    source = new PassThrough({highWaterMark: 2 * MAXIMUM_BYTES});
    controller = new AbortController();
  });

  const read = (
    statedBytes?: number,
    timeoutMilliseconds = 60_000,
  ): Promise<ReadBodyResult> => {
    const headers =
      statedBytes === undefined ? {} : {'content-length': String(statedBytes)};
    return readBody(
      Object.assign(source, {headers}) as unknown as IncomingMessage,
      {
        maximumBytes: MAXIMUM_BYTES,
        memory: budget.openAccount(),
        signal: controller.signal,
        timeoutMilliseconds,
      },
    );
  };

  it('returns a whole body and holds its size', async () => {
    const result = read();
    source.write('ab');
    source.end('c');
    assert.deepEqual(await result, {kind: 'whole', body: Buffer.from('abc')});
    assert.equal(budget.heldBytes, 3);
  });

  it('reads nothing of a stated length that exceeds the memory', async () => {
    const result = read(600_001);
    source.write('first');
    assert.deepEqual(await result, {kind: 'no_memory'});
    assert.equal(source.readableLength, 5);
    assert.equal(budget.heldBytes, 0);
  });

  it('stops at a body of unknown length as soon as it exceeds the memory', async () => {
    const result = read();
    source.write(Buffer.alloc(200_000));
    await settle();
    assert.ok(budget.heldBytes >= 200_000);
    source.write(Buffer.alloc(200_000));
    assert.deepEqual(await result, {kind: 'no_memory'});
    assert.equal(budget.heldBytes, 0);
  });

  it('holds nothing for a stated length that is not allowed', async () => {
    const result = read(MAXIMUM_BYTES + 1);
    assert.equal(budget.heldBytes, 0);
    source.write('first');
    assert.deepEqual(await result, {kind: 'too_large'});
    assert.equal(budget.heldBytes, 0);
  });

  it('holds nothing for a body that breaks off', async () => {
    const result = read(1_000);
    assert.equal(budget.heldBytes, 1_000);
    source.destroy();
    assert.deepEqual(await result, {kind: 'broken'});
    assert.equal(budget.heldBytes, 0);
  });

  it('holds nothing for a body that is interrupted, also when it goes on', async () => {
    const result = read();
    source.write('first');
    await settle();
    controller.abort();
    assert.deepEqual(await result, {kind: 'interrupted'});
    source.end(Buffer.alloc(1_000));
    await settle();
    assert.equal(budget.heldBytes, 0);
  });

  it('holds nothing for a body that stops to arrive', async () => {
    const result = read(600_000, 20);
    source.write('first');
    assert.equal(budget.heldBytes, 600_000);
    assert.deepEqual(await result, {kind: 'timed_out'});
    assert.equal(budget.heldBytes, 0);
  });
});
