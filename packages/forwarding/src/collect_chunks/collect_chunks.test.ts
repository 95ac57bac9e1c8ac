/**
 * Tests that the chunks of one turn are handed on together. Guards against bytes
 * that are lost or late at the end of a response.
 */
import assert from 'node:assert/strict';
import {PassThrough} from 'node:stream';
import {describe, it} from 'node:test';

import {collectChunks} from './collect_chunks.js';

function createResponse() {
  const response = new PassThrough();
  const received: string[] = [];
  collectChunks(response, (bytes, chunkCount) =>
    received.push(`${bytes.toString()} of ${chunkCount}`),
  );
  return {response, received};
}

const settle = () => new Promise(resolve => setImmediate(resolve));

describe('collectChunks', () => {
  it('hands on a single chunk in the same turn', async () => {
    const {response, received} = createResponse();
    response.write('a');
    await settle();
    assert.deepEqual(received, ['a of 1']);
  });

  it('joins the chunks of one turn in their order', async () => {
    const {response, received} = createResponse();
    ['a', 'b', 'c'].forEach(chunk => response.emit('data', Buffer.from(chunk)));
    await settle();
    response.emit('data', Buffer.from('d'));
    await settle();
    assert.deepEqual(received, ['abc of 3', 'd of 1']);
  });

  for (const event of ['end', 'error', 'close']) {
    it(`hands on what has arrived before listeners of ${event}`, () => {
      const {response, received} = createResponse();
      let receivedBefore: readonly string[] = [];
      response.on(event, () => (receivedBefore = [...received]));
      response.emit('data', Buffer.from('a'));
      response.emit('data', Buffer.from('b'));
      response.emit(event);
      assert.deepEqual(receivedBefore, ['ab of 2']);
    });
  }
});
