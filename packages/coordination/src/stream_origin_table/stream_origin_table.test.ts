/**
 * Tests the table of stream origins: guards against an origin that changes, one
 * that is forgotten too early, and a table that grows without bound.
 */
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {StreamOriginTable} from './stream_origin_table.js';

const OLD = {service: 'text', softwareVersion: 'v1'};
const NEW = {service: 'text', softwareVersion: 'v1.1'};

describe('StreamOriginTable', () => {
  let now: number;
  let table: StreamOriginTable;

  beforeEach(() => {
    now = 0;
    table = new StreamOriginTable(() => now, 100);
  });

  const record = (requestId: string, origin = OLD, milliseconds = 1_000) =>
    table.record({requestId, origin, lifetimeMilliseconds: milliseconds});

  it('finds a stream until its lifetime is over', () => {
    record('r');
    now = 400;
    assert.deepEqual(table.find('r'), {
      requestId: 'r',
      origin: OLD,
      lifetimeMilliseconds: 600,
    });
    now = 1_000;
    assert.equal(table.find('r'), undefined);
  });

  it('never changes an origin, but extends its lifetime', () => {
    record('r');
    record('r', NEW, 5_000);
    now = 4_000;
    assert.deepEqual(table.find('r')?.origin, OLD);
    record('r', OLD, 10);
    now = 4_500;
    assert.deepEqual(table.find('r')?.origin, OLD);
  });

  it('forgets the stream that was recorded first when it is full', () => {
    for (let index = 0; index <= 100; index += 1) {
      record(`r-${index}`);
    }
    assert.equal(table.size, 100);
    assert.equal(table.find('r-0'), undefined);
    assert.deepEqual(table.find('r-100')?.origin, OLD);
  });

  it('frees the memory of streams whose lifetime is over', () => {
    for (let index = 0; index < 50; index += 1) {
      record(`r-${index}`);
    }
    now = 60_000;
    record('last');
    assert.equal(table.size, 1);
    assert.deepEqual(
      table.list().map(({requestId}) => requestId),
      ['last'],
    );
  });
});
