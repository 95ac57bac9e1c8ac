/**
 * Tests the splitting of streams into events. A caller would receive a
 * truncated event if the split depended on the chunks of the connection.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {EventSplitter} from './event_splitter.js';

function split(...chunks: string[]) {
  const splitter = new EventSplitter();
  const batches = chunks.flatMap(
    chunk => splitter.push(Buffer.from(chunk)) ?? [],
  );
  return {
    batches: batches.map(({bytes, eventCount, lastId}) => [
      bytes.toString(),
      eventCount,
      lastId,
    ]),
    remainder: splitter.remainder.toString(),
  };
}

/** Longest time for which one response may keep other requests waiting. */
const MAXIMUM_MILLISECONDS = 1_000;

describe('EventSplitter', () => {
  it('returns complete events with unchanged bytes', () => {
    const {batches, remainder} = split(
      ...'id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n',
    );
    assert.deepEqual(batches, [
      ['id: 1\ndata: a\n\n', 1, '1'],
      ['id:2\r\ndata: b\r\n\r\n', 1, '2'],
    ]);
    assert.equal(remainder, '');
  });

  it('returns the events that a chunk completes together', () => {
    const {batches, remainder} = split(
      'id: 1\nda',
      'ta: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\nid: 4',
    );
    assert.deepEqual(batches, [
      ['id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\n', 3, '2'],
    ]);
    assert.equal(remainder, 'id: 4');
  });

  it('keeps the bytes of an incomplete event as the remainder', () => {
    const {batches, remainder} = split('id: 1\ndata: a\n\nid: 2\nda');
    assert.deepEqual(batches, [['id: 1\ndata: a\n\n', 1, '1']]);
    assert.equal(remainder, 'id: 2\nda');
  });

  it('splits at the same places for any chunk sizes', () => {
    const text = ': c\r\n\nid: 1\r\ndata: a\n\n\n:\rid: 2\ndata: b\n\r\n';
    const join = (...chunks: string[]) => {
      const {batches, remainder} = split(...chunks);
      const bytes = batches.map(([part]) => part).join('');
      const count = batches.reduce((sum, [, part]) => sum + Number(part), 0);
      const [lastId] = batches.flatMap(([, , id]) => id ?? []).slice(-1);
      return {bytes, count, lastId, remainder};
    };
    const whole = join(text);
    assert.deepEqual(whole, {
      bytes: text,
      count: 2,
      lastId: '2',
      remainder: '',
    });
    assert.deepEqual(join(...text), whole);
    for (let cut = 1; cut < text.length; cut += 1) {
      assert.deepEqual(join(text.slice(0, cut), text.slice(cut)), whole);
    }
  });

  it('returns no identifier for an event without one', () => {
    assert.deepEqual(split('data: a\n\n').batches, [
      ['data: a\n\n', 1, undefined],
    ]);
  });

  it('counts no comments or blank lines, and returns them with the next event', () => {
    const {batches, remainder} = split(
      '\n\r\n',
      ': comment\n\n',
      'data: a\n\n',
      '\n: comment\r\n\r\n',
    );
    assert.deepEqual(batches, [
      ['\n\r\n: comment\n\ndata: a\n\n', 1, undefined],
    ]);
    assert.equal(remainder, '\n: comment\r\n\r\n');
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
      'data: a\n\n\n\r\n',
      'data: a\n\n: comment\n\n\n',
    ];
    const inside = [
      'i',
      'id: 1\n',
      'data: a\r\n',
      'data: a\r',
      'data: a\n\nid: 2\ndata: b\n',
      'data: a\n\n: comment\nid: 2',
      'data: a\n\n: comment\rid: 2',
    ];
    assert.deepEqual(outside.filter(isInsideEvent), []);
    assert.deepEqual(
      inside.filter(text => !isInsideEvent(text)),
      [],
    );
  });

  it('tells blank lines whose line ends are spread over chunks', () => {
    const {batches, remainder} = split(
      'data: a\r',
      '\n\r',
      '\ndata: b\n\r',
      'x\n',
      '\n\n',
    );
    assert.deepEqual(
      batches.map(([bytes]) => bytes),
      ['data: a\r\n\r\n', 'data: b\n\rx\n\n'],
    );
    assert.equal(remainder, '\n');
  });

  // Guards against blank lines, comments or tiny events without end that occupy
  // the process or fill its memory, as each of them is kept as an object.
  for (const piece of ['\n', '\r\n', '\r', ':\n', ':\n\n', 'a\n\n']) {
    it(`reads a great many of ${JSON.stringify(piece)} at little cost`, () => {
      const splitter = new EventSplitter();
      const chunk = Buffer.from(piece.repeat(65_536 / piece.length));
      const startedAt = performance.now();
      let batches = 0;
      for (let index = 0; index < 64; index += 1) {
        batches += splitter.push(chunk) === undefined ? 0 : 1;
      }
      const milliseconds = performance.now() - startedAt;
      assert.equal(batches, piece === 'a\n\n' ? 64 : 0);
      assert.equal(splitter.isInsideEvent, false);
      assert.ok(
        milliseconds < MAXIMUM_MILLISECONDS,
        `${Math.round(milliseconds)} ms`,
      );
    });
  }

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
