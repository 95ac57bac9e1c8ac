/**
 * Tests the slow start of an endpoint: guards against limits that collapse after
 * one incident, that never grow, or that differ between gateways for long.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {ConcurrencyRamp} from './concurrency_ramp.js';

const SLOTS = 24;

function createRamp(isNew: boolean, slots = SLOTS) {
  const time = {now: 0};
  const ramp = new ConcurrencyRamp({now: () => time.now, slots, isNew});
  const serve = (openRequests = 1) =>
    ramp.recordServed({openRequests, isInTime: true});
  const serveLate = () => ramp.recordServed({openRequests: 1, isInTime: false});
  return {ramp, time, serve, serveLate};
}

describe('ConcurrencyRamp', () => {
  describe('start', () => {
    it('starts a new endpoint at 2, within its slots', () => {
      assert.equal(createRamp(true).ramp.limit, 2);
      assert.equal(createRamp(true, 1).ramp.limit, 1);
    });

    it('starts a known endpoint at its slots', () => {
      assert.equal(createRamp(false).ramp.limit, SLOTS);
    });

    it('doubles with each round of responses, up to the slots', () => {
      const {ramp, serve} = createRamp(true);
      const limits = [4, 8, 16, 24, 24].map(() => {
        const round = ramp.limit;
        for (let index = 0; index < round; index += 1) {
          serve();
        }
        return ramp.limit;
      });
      assert.deepEqual(limits, [4, 8, 16, 24, 24]);
    });
  });

  describe('faults', () => {
    it('halves the limit at a fault, once for those of one incident', () => {
      const {ramp, time} = createRamp(false);
      for (let index = 0; index < 10; index += 1) {
        ramp.recordFault();
      }
      assert.equal(ramp.limit, 12);
      time.now = 300;
      ramp.recordFault();
      assert.equal(ramp.limit, 6);
    });

    it('probes an endpoint without responses by one request at a time', () => {
      const {ramp, time, serve} = createRamp(true);
      for (time.now = 0; time.now < 60_000; time.now += 300) {
        ramp.recordFault();
      }
      assert.equal(ramp.limit, 1);
      serve();
      assert.equal(ramp.limit, 2);
    });

    it('halves the limit of a new endpoint at a slow response', () => {
      const {ramp, serveLate} = createRamp(true);
      serveLate();
      assert.equal(ramp.limit, 1);
    });

    it('does not stay at 1 where responses are slow even without other work', () => {
      const {ramp, time, serveLate} = createRamp(true);
      const limits: number[] = [];
      for (time.now = 0; time.now < 60_000; time.now += 300) {
        serveLate();
        limits.push(ramp.limit);
      }
      assert.deepEqual(limits.slice(0, 7), [1, 2, 3, 4, 5, 6, 6]);
      assert.equal(limits.at(-1), 6);
    });

    it('stays at 1 while responses are slow beside other work', () => {
      const {ramp, time} = createRamp(true);
      for (time.now = 0; time.now < 60_000; time.now += 300) {
        ramp.recordServed({openRequests: 3, isInTime: false});
      }
      assert.equal(ramp.limit, 1);
    });

    it('keeps a quarter of the slots of a known endpoint under overload', () => {
      const {ramp, time, serveLate} = createRamp(false);
      for (time.now = 0; time.now < 60_000; time.now += 300) {
        serveLate();
      }
      assert.equal(ramp.limit, 6);
    });
  });

  describe('several gateways', () => {
    it('learns from a response how many open requests the endpoint carries', () => {
      const {ramp, serve} = createRamp(true);
      serve(8);
      assert.equal(ramp.limit, 9);
    });

    it('follows what others keep open, without exceeding the slots', () => {
      const {ramp} = createRamp(true);
      ramp.recordOpen({others: 10, answered: 0});
      assert.equal(ramp.limit, 10);
      ramp.recordOpen({others: 500, answered: 0});
      assert.equal(ramp.limit, SLOTS);
    });

    it('counts each open stream that has begun as a response', () => {
      const {ramp} = createRamp(true);
      ramp.recordOpen({others: 3, answered: 3});
      assert.equal(ramp.limit, 6);
    });

    it('does not follow others for 2 seconds after a fault of its own', () => {
      const {ramp, time} = createRamp(true);
      ramp.recordFault();
      time.now = 1_900;
      ramp.recordOpen({others: 10, answered: 10});
      assert.equal(ramp.limit, 1);
      time.now = 2_000;
      ramp.recordOpen({others: 10, answered: 0});
      assert.equal(ramp.limit, 10);
    });
  });
});
