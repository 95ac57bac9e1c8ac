/**
 * Tests the splitting of streams into events. A caller would receive a
 * truncated event if the split depended on the chunks of the connection.
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

/** Longest time for which one event may keep other requests waiting. */
const MAXIMUM_MILLISECONDS = 1_000;

describe('EventSplitter', () => {
  it('returns complete events with unchanged bytes', () => {
    const {events, remainder} = split(
      'id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n',
    );
    assert.deepEqual(events, [
      ['id: 1\ndata: a\n\n', '1'],
      ['id:2\r\ndata: b\r\n\r\n', '2'],
    ]);
    assert.equal(remainder, '');
  });

  it('keeps the bytes of an incomplete event as the remainder', () => {
    const {events, remainder} = split('id: 1\ndata: a\n\nid: 2\nda');
    assert.equal(events.length, 1);
    assert.equal(remainder, 'id: 2\nda');
  });

  it('splits at the same places for any chunk sizes', () => {
    const text = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
    const unchunked = split(text);
    const bytewise = split(...text);
    assert.deepEqual(bytewise, unchunked);
  });

  it('returns no identifier for an event without one', () => {
    assert.deepEqual(split('data: a\n\n').events, [['data: a\n\n', undefined]]);
  });

  it('tells an end inside an event from one between two', () => {
    const isInsideEvent = (text: string) => {
      const splitter = new EventSplitter();
      splitter.push(Buffer.from(text));
      return splitter.isInsideEvent;
    };
    const outside = [
      '',
      'data: a\n\n',
      'data: a\r\n\r\n',
      'data: a\r\rdata: b\r\r',
      'data: a\n\n: comment\n',
      'data: a\n\n: comm',
    ];
    const inside = [
      'i',
      'id: 1\n',
      'data: a\r\n',
      'data: a\r',
      'data: a\n\nid: 2\ndata: b\n',
      'data: a\n\n: comment\nid: 2',
    ];
    assert.deepEqual(outside.filter(isInsideEvent), []);
    assert.deepEqual(
      inside.filter(text => !isInsideEvent(text)),
      [],
    );
  });

  it('tells blank lines whose line ends are spread over chunks', () => {
    const {events, remainder} = split(
      'data: a\r',
      '\n\r',
      '\ndata: b\n\r',
      'x\n',
      '\n\n',
    );
    assert.deepEqual(
      events.map(([bytes]) => bytes),
      ['data: a\r\n\r\n', 'data: b\n\rx\n\n', '\n'],
    );
    assert.equal(remainder, '');
  });

  // Guards against a long event that keeps the process from all other requests,
  // because each of its chunks is searched together with all earlier ones.
  it('reads a long event in a time that grows only with its length', () => {
    const splitter = new EventSplitter();
    const chunk = Buffer.alloc(64, 'x');
    const startedAt = performance.now();
    for (let index = 0; index < 65_536; index += 1) {
      splitter.push(chunk);
    }
    const milliseconds = performance.now() - startedAt;
    assert.equal(splitter.remainder.length, 65_536 * 64);
    assert.ok(
      milliseconds < MAXIMUM_MILLISECONDS,
      `${Math.round(milliseconds)} ms`,
    );
  });
});
