/**
 * Tests of cutting streams into events.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {EventSplitter} from './event_splitter.js';

function split(...chunks: string[]) {
  const splitter = new EventSplitter();
  const events = chunks.flatMap(chunk => splitter.push(Buffer.from(chunk)));
  return {
    events: events.map(({bytes, id}) => [bytes.toString(), id]),
    remainder: splitter.remainder.toString(),
  };
}

describe('EventSplitter', () => {
  it('gives out whole events with the bytes that came', () => {
    const {events, remainder} = split(
      'id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n',
    );
    assert.deepEqual(events, [
      ['id: 1\ndata: a\n\n', '1'],
      ['id:2\r\ndata: b\r\n\r\n', '2'],
    ]);
    assert.equal(remainder, '');
  });

  it('keeps what is not whole yet', () => {
    const {events, remainder} = split('id: 1\ndata: a\n\nid: 2\nda');
    assert.equal(events.length, 1);
    assert.equal(remainder, 'id: 2\nda');
  });

  it('cuts in the same places whatever the chunks are', () => {
    const text = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
    const whole = split(text);
    const bytewise = split(...text);
    assert.deepEqual(bytewise, whole);
  });

  it('knows events without an identifier', () => {
    assert.deepEqual(split('data: a\n\n').events, [['data: a\n\n', undefined]]);
  });
});
