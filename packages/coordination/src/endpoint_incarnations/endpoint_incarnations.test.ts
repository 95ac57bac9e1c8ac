/**
 * Tests the memory of incarnations. Guards against a late entry of a replaced
 * incarnation that is not recognized, and against memory that grows for ever.
 */
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {EndpointEntry} from '../endpoint_entry/endpoint_entry.js';
import {createTestEntry} from '../endpoint_entry/endpoint_entry_fixture.js';
import {EndpointIncarnations} from './endpoint_incarnations.js';

const RETENTION_MILLISECONDS = 120_000;

function createEntry(startedAt: number, sequence = 1): EndpointEntry {
  return createTestEntry({startedAt, sequence});
}

describe('EndpointIncarnations', () => {
  let now: number;
  let incarnations: EndpointIncarnations;

  beforeEach(() => {
    now = 0;
    incarnations = new EndpointIncarnations(() => now);
  });

  it('finds a replaced incarnation with its last entry', () => {
    incarnations.recordReplacement(createEntry(1, 7), createEntry(2));
    assert.equal(incarnations.findReplaced(createEntry(1, 9))?.sequence, 7);
    assert.equal(incarnations.findReplaced(createEntry(2)), undefined);
  });

  it('forgets that one was replaced which has replaced its successor', () => {
    incarnations.recordReplacement(createEntry(1), createEntry(2));
    incarnations.recordReplacement(createEntry(2, 3), createEntry(1, 8));
    assert.equal(incarnations.findReplaced(createEntry(1, 9)), undefined);
    assert.equal(incarnations.findReplaced(createEntry(2))?.sequence, 3);
  });

  it('remembers a bounded number of replaced incarnations', () => {
    for (let start = 1; start <= 100; start += 1) {
      incarnations.recordReplacement(
        createEntry(start),
        createEntry(start + 1),
      );
    }
    const starts = Array.from({length: 100}, (_, index) => index + 1);
    const found = starts.filter(
      start => incarnations.findReplaced(createEntry(start)) !== undefined,
    );
    assert.deepEqual(found, starts.slice(-8));
  });

  it('finds a competing entry until the current incarnation writes', () => {
    incarnations.recordCompeting(createEntry(1, 7));
    assert.equal(incarnations.findCompeting('a')?.sequence, 7);
    assert.equal(incarnations.findCompeting('b'), undefined);
    incarnations.recordConfirmation('a');
    assert.equal(incarnations.findCompeting('a'), undefined);
  });

  it('forgets the competing entry once its incarnation is the current one', () => {
    incarnations.recordCompeting(createEntry(1, 7));
    incarnations.recordReplacement(createEntry(2), createEntry(1, 8));
    assert.equal(incarnations.findCompeting('a'), undefined);
  });

  it('keeps the newest entry of a competing incarnation', () => {
    incarnations.recordCompeting(createEntry(1, 7));
    incarnations.recordCompeting(createEntry(1, 6));
    assert.equal(incarnations.findCompeting('a')?.sequence, 7);
    incarnations.recordCompeting(createEntry(3, 1));
    assert.equal(incarnations.findCompeting('a')?.startedAt, 3);
  });

  it('forgets what no late entry is expected of', () => {
    incarnations.recordReplacement(createEntry(1), createEntry(2));
    incarnations.recordCompeting(createEntry(0));
    now = RETENTION_MILLISECONDS;
    incarnations.forgetOld();
    assert.notEqual(incarnations.findReplaced(createEntry(1)), undefined);
    assert.notEqual(incarnations.findCompeting('a'), undefined);
    now += 1;
    incarnations.forgetOld();
    assert.equal(incarnations.findReplaced(createEntry(1)), undefined);
    assert.equal(incarnations.findCompeting('a'), undefined);
  });
});
