/**
 * Tests the collection of chunks. Guards against messages in many small chunks
 * that take far more time or memory than their bytes.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

import {GrowingBuffer} from './growing_buffer.js';

const MEBIBYTE = 1_048_576;

/** Memory that a message may take, as a multiple of its bytes. */
const MAXIMUM_OVERHEAD_FACTOR = 4;

/** Returns the memory in use after unused objects have been freed, in bytes. */
function measureMemory(): number {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

describe('GrowingBuffer', () => {
  it('returns the bytes of all chunks in order', () => {
    const buffer = new GrowingBuffer();
    ['ab', '', 'c', 'defghijkl'].forEach(text =>
      buffer.append(Buffer.from(text)),
    );
    assert.equal(buffer.length, 12);
    assert.equal(buffer.bytes.toString(), 'abcdefghijkl');
  });

  it('does not grow beyond the expected size', () => {
    const buffer = new GrowingBuffer(10);
    ['abc', 'defg', 'hij'].forEach(text => buffer.append(Buffer.from(text)));
    const taken = buffer.take();
    assert.equal(taken.toString(), 'abcdefghij');
    assert.equal(taken.buffer.byteLength, 10);
  });

  it('begins anew after its bytes were taken, and leaves them unchanged', () => {
    const buffer = new GrowingBuffer();
    buffer.append(Buffer.from('first'));
    const taken = buffer.take();
    buffer.append(Buffer.from('other'));
    assert.equal(taken.toString(), 'first');
    assert.equal(buffer.take().toString(), 'other');
    assert.equal(buffer.length, 0);
  });

  it('takes no more memory for single bytes than for large chunks', () => {
    const chunk = Buffer.alloc(65_536, 'x');
    const before = measureMemory();
    const buffer = new GrowingBuffer();
    for (let index = 0; index < MEBIBYTE; index += 1) {
      buffer.append(chunk.subarray(index % 65_536, (index % 65_536) + 1));
    }
    const taken = measureMemory() - before;
    assert.equal(buffer.length, MEBIBYTE);
    assert.ok(taken < MAXIMUM_OVERHEAD_FACTOR * MEBIBYTE, `${taken} bytes`);
  });
});
