/**
 * Tests that neither the organisation nor the route alone decides who waits:
 * otherwise urgent short requests wait behind long ones of equal organisations.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {computeAdmissionPriority} from './compute_admission_priority.js';

describe('computeAdmissionPriority', () => {
  it('takes the priority of the route without one of the organisation', () => {
    assert.equal(computeAdmissionPriority({route: 2}), 2);
  });

  it('puts urgent routes first among organisations of equal priority', () => {
    for (const organisation of [1, 2]) {
      const urgent = computeAdmissionPriority({organisation, route: 0});
      const other = computeAdmissionPriority({organisation, route: 2});
      assert.ok(urgent < other);
    }
  });

  it('never puts a request behind one of a less urgent organisation', () => {
    for (const [higher, lower] of [
      [0, 1],
      [0, 2],
      [1, 2],
    ]) {
      for (const route of [0, 1, 2]) {
        const first = computeAdmissionPriority({organisation: higher, route});
        const second = computeAdmissionPriority({
          organisation: lower,
          route: 0,
        });
        assert.ok(first <= second);
      }
    }
  });
});
