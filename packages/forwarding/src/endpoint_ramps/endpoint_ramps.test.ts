/**
 * Tests which endpoints have a limit below their slots, and for how long.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {EndpointEntry} from '@briarpin/coordination';

import {EndpointRamps} from './endpoint_ramps.js';

const ENTRY: EndpointEntry = {
  id: 'a',
  service: 'text',
  host: '10.0.0.1',
  port: 80,
  availabilityZone: 'east-1',
  state: 'ready',
  slots: 6,
  softwareVersion: 'v1',
  coldMilliseconds: 0,
};

const IN_TIME = {openRequests: 1, isInTime: true};
const NONE = {others: 0, answered: 0};
const LATE = {openRequests: 1, isInTime: false};

describe('EndpointRamps', () => {
  it('limits an endpoint that was not new by its slots', () => {
    const ramps = new EndpointRamps({now: () => 0});
    ramps.recordServed(ENTRY, IN_TIME);
    assert.equal(ramps.readLimit(ENTRY, NONE), 6);
  });

  it('limits an endpoint that has no slots by 1', () => {
    const ramps = new EndpointRamps({now: () => 0});
    assert.equal(ramps.readLimit({...ENTRY, slots: 0}, NONE), 1);
  });

  it('raises the limit of a new endpoint up to its slots', () => {
    const ramps = new EndpointRamps({now: () => 0});
    ramps.start(ENTRY);
    const limits = Array.from({length: 6}, () => {
      const limit = ramps.readLimit(ENTRY, NONE);
      ramps.recordServed(ENTRY, IN_TIME);
      return limit;
    });
    assert.deepEqual(limits, [2, 3, 4, 5, 6, 6]);
  });

  it('halves the limit of a known endpoint at a fault and a late response', () => {
    for (const halve of [
      (ramps: EndpointRamps) => ramps.recordFault(ENTRY),
      (ramps: EndpointRamps) => ramps.recordServed(ENTRY, LATE),
    ]) {
      const ramps = new EndpointRamps({now: () => 0});
      halve(ramps);
      assert.equal(ramps.readLimit(ENTRY, NONE), 3);
    }
  });

  it('starts again when the endpoint restarts, without the limit of one that left', () => {
    const ramps = new EndpointRamps({now: () => 0});
    ramps.recordFault(ENTRY);
    ramps.remove('a');
    assert.equal(ramps.readLimit(ENTRY, NONE), 6);
    ramps.start(ENTRY);
    assert.equal(ramps.readLimit(ENTRY, NONE), 2);
  });

  it('keeps no limits of endpoints whose last requests fail after they left', () => {
    const time = {now: 0};
    const ramps = new EndpointRamps({now: () => time.now});
    for (let index = 0; index < 1_000; index += 1) {
      time.now += 3_000;
      ramps.remove(`engine-${index}`);
      ramps.recordFault({...ENTRY, id: `engine-${index}`});
    }
    assert.ok(ramps.size < 250, `${ramps.size}`);
  });

  it('keeps the limit of an endpoint that is asked for while others fail', () => {
    const time = {now: 0};
    const ramps = new EndpointRamps({now: () => time.now});
    ramps.start(ENTRY);
    for (let index = 0; index < 1_000; index += 1) {
      time.now += 3_000;
      ramps.recordFault({...ENTRY, id: `engine-${index}`});
      assert.equal(ramps.readLimit(ENTRY, NONE), 2);
    }
  });
});
