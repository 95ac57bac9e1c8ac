/**
 * Tests which requests an instance that shuts down still serves.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {decideLastRequest} from './decide_last_request.js';

describe('decideLastRequest', () => {
  it('serves a request that ends in time', () => {
    assert.equal(
      decideLastRequest({
        expectedMilliseconds: 900,
        remainingMilliseconds: 7_000,
      }),
      true,
    );
  });

  it('rejects a request that would end together with the instance', () => {
    assert.equal(
      decideLastRequest({
        expectedMilliseconds: 900,
        remainingMilliseconds: 900,
      }),
      false,
    );
  });

  it('rejects everything when the time is over', () => {
    assert.equal(
      decideLastRequest({expectedMilliseconds: 0, remainingMilliseconds: 0}),
      false,
    );
  });

  it('serves everything while no end is planned', () => {
    assert.equal(
      decideLastRequest({
        expectedMilliseconds: 60_000,
        remainingMilliseconds: Number.POSITIVE_INFINITY,
      }),
      true,
    );
  });
});
