/**
 * Tests the order of incarnations. Guards against a late entry of an earlier
 * incarnation that is taken for the proof of a restart.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {EndpointEntry} from '../endpoint_entry/endpoint_entry.js';
import {createTestEntry} from '../endpoint_entry/endpoint_entry_fixture.js';
import {isLaterIncarnation} from './is_later_incarnation.js';

const ENTRY = createTestEntry({startedAt: 10});

describe('isLaterIncarnation', () => {
  const cases: ReadonlyArray<[string, Partial<EndpointEntry>, boolean]> = [
    ['the same entry', {}, false],
    ['another state', {state: 'draining'}, false],
    ['a later start', {startedAt: 11}, true],
    ['an earlier start', {startedAt: 9}, false],
    [
      'an earlier start and other software',
      {startedAt: 9, softwareVersion: 'v2'},
      false,
    ],
    ['other software at the same start', {softwareVersion: 'v2'}, true],
    [
      'other software without a start',
      {startedAt: undefined, softwareVersion: 'v2'},
      true,
    ],
  ];
  for (const [description, change, expected] of cases) {
    it(`is ${expected} for ${description}`, () => {
      assert.equal(isLaterIncarnation({...ENTRY, ...change}, ENTRY), expected);
    });
  }
});
