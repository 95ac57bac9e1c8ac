/**
 * Tests the choice of a checkpoint: guards against a broken stream that is resumed
 * at an engine that may not run the request, or no longer.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {
  createConfiguration,
  createEligibility,
  createEntry,
  createRequest,
  type EligibilityFixture,
} from '../endpoint_eligibility/eligibility_fixture.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';
import {findCheckpoint} from './find_checkpoint.js';

const SOURCE = createEntry('source', 'east-1');
const HOLDER = createEntry('holder', 'east-2');

function find({
  entries = [SOURCE, HOLDER],
  pauseMilliseconds = 0,
  isAtColdLimit = false,
  ...fixture
}: Partial<EligibilityFixture> & {
  readonly pauseMilliseconds?: number;
  readonly isAtColdLimit?: boolean;
}) {
  const context = {
    eligibility: createEligibility({entries, ...fixture}),
    limits: {computePauseMilliseconds: () => pauseMilliseconds},
    coldEndpoints: {hasCapacity: () => !isAtColdLimit},
  } as unknown as ForwardingContext;
  const stream = {endpoint: SOURCE, checkpointHolder: HOLDER};
  return findCheckpoint(createRequest(), context, stream);
}

describe('findCheckpoint', () => {
  it('returns the engine that stores the checkpoint', () => {
    assert.deepEqual(find({}), {
      endpoint: HOLDER,
      memorySource: {host: 'holder', port: 80, handle: 'r-1'},
    });
  });

  describe('returns none', () => {
    const cases: Readonly<Record<string, Parameters<typeof find>[0]>> = {
      'whose region became forbidden': {
        configuration: () => createConfiguration({organisation: ['west']}),
      },
      'in an evacuated zone': {evacuatedZones: new Set(['east-2'])},
      'that left': {entries: [SOURCE]},
      'that drains': {entries: [SOURCE, {...HOLDER, state: 'draining'}]},
      'of other software': {entries: [{...HOLDER, softwareVersion: 'v2'}]},
      'that wants no requests': {pauseMilliseconds: 10},
      'that is cold and at its limit': {isAtColdLimit: true},
    };
    for (const [title, fixture] of Object.entries(cases)) {
      it(title, () => {
        assert.equal(find(fixture), undefined);
      });
    }
  });
});
