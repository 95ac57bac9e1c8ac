/**
 * Tests the reason of a rejected request: guards against an overload that is
 * reported as a lack of allowed endpoints, and the other way round.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {
  createEligibility,
  createEntry,
  createRequest,
} from '../endpoint_eligibility/eligibility_fixture.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';
import {explainRejection} from './explain_rejection.js';

function explain(region: string) {
  const counted: string[] = [];
  const metrics: ForwardingContext['metrics'] = {
    countRequest: () => undefined,
    countUnallowedRequest: organisation => counted.push(organisation),
    countQueueRejection: () => undefined,
  };
  const eligibility = createEligibility({
    entries: [createEntry('e', 'east-1')],
  });
  const exchange = createRequest({organisation: [region]});
  const reason = explainRejection(exchange, {eligibility, metrics}, 'full');
  return {reason, counted};
}

describe('explainRejection', () => {
  it('names and counts a lack of allowed endpoints', () => {
    const {reason, counted} = explain('west');
    assert.match(reason, /allowed region/);
    assert.deepEqual(counted, ['quilters']);
  });

  it('returns the other reason if an allowed endpoint exists', () => {
    assert.deepEqual(explain('east'), {reason: 'full', counted: []});
  });
});
