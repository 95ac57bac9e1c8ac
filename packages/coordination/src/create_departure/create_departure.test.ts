/**
 * Tests the reports of departures. Guards against a restart that other processes
 * take for the endpoint's own notice, which nothing but another start undoes.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {LeavingReason} from '../endpoint_entry/endpoint_entry.js';
import {createTestEntry} from '../endpoint_entry/endpoint_entry_fixture.js';
import {createDeparture} from './create_departure.js';

const ENTRY = createTestEntry({startedAt: 20, sequence: 5});

describe('createDeparture', () => {
  const cases: ReadonlyArray<[LeavingReason, boolean]> = [
    ['draining', true],
    ['told_by_endpoint', true],
    ['entry_removed', false],
    ['restarted', false],
  ];
  for (const [reason, hasNotice] of cases) {
    it(`says ${hasNotice ? 'that' : 'no'} notice was given: ${reason}`, () => {
      assert.deepEqual(createDeparture(ENTRY, reason), {
        id: 'a',
        startedAt: 20,
        sequence: 5,
        hasNotice,
      });
    });
  }

  it('reports nothing that was heard from a peer', () => {
    assert.equal(createDeparture(ENTRY, 'told_by_peer'), undefined);
  });
});
