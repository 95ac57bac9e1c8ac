/**
 * Tests that a failure says what its remedy refers to.
 *
 * Guards against callers who are told to wait for the time in Retry-After and get
 * none.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {FailureKind, Outcome} from '@briarpin/messages';

import {createFailure} from './failures.js';

const KINDS = Object.values(FailureKind).filter(
  (kind): kind is FailureKind => typeof kind === 'number',
);

describe('createFailure', () => {
  for (const kind of KINDS) {
    it(`states a time for ${FailureKind[kind]} if its remedy names one`, () => {
      const failure = createFailure(kind);
      const namesTime = failure.remedy.includes('Retry-After');
      assert.equal(failure.retryAfterMilliseconds > 0, namesTime);
    });
  }

  it('keeps a time that is given', () => {
    const details = {retryAfterMilliseconds: 7_000};
    const failure = createFailure(FailureKind.OVERLOADED, details);
    assert.equal(failure.retryAfterMilliseconds, 7_000);
  });

  it('uses the time of the kind where none is known', () => {
    const details = {retryAfterMilliseconds: undefined};
    const failure = createFailure(FailureKind.OVERLOADED, details);
    assert.equal(failure.retryAfterMilliseconds, 1_000);
    assert.equal(failure.outcome, Outcome.NOT_RUN);
  });
});
