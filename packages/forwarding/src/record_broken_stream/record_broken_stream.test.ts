/**
 * Tests what a broken stream records about its endpoint.
 *
 * Guards against an endpoint that breaks off each stream after its first event and
 * keeps its limit, and against one that is blamed for a stream that this gateway
 * did not read.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {EndpointEntry} from '@briarpin/coordination';

import {recordBrokenStream} from './record_broken_stream.js';

function record(wasPaused: boolean): string[] {
  const faults: string[] = [];
  const recordFault = ({id}: EndpointEntry) => void faults.push(id);
  const endpoint = {id: 'engine-0'} as EndpointEntry;
  recordBrokenStream({recordFault}, {endpoint, wasPaused});
  return faults;
}

describe('recordBrokenStream', () => {
  it('records a fault of the endpoint', () => {
    assert.deepEqual(record(false), ['engine-0']);
  });

  it('records none after a pause', () => {
    assert.deepEqual(record(true), []);
  });
});
