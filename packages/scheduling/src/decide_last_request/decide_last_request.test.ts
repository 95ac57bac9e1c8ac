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
        limitMilliseconds: 60_000,
        remainingMilliseconds: 7_000,
        isLateStream: false,
      }),
      true,
    );
  });

  it('rejects a request that would end together with the instance', () => {
    assert.equal(
      decideLastRequest({
        expectedMilliseconds: 900,
        limitMilliseconds: 60_000,
        remainingMilliseconds: 900,
        isLateStream: false,
      }),
      false,
    );
  });

  it('rejects everything when the time is over', () => {
    assert.equal(
      decideLastRequest({
        expectedMilliseconds: 0,
        limitMilliseconds: 60_000,
        remainingMilliseconds: 0,
        isLateStream: false,
      }),
      false,
    );
  });

  it('rejects a late stream that may take longer than expected', () => {
    const request = {
      expectedMilliseconds: 100,
      limitMilliseconds: 6_000,
      remainingMilliseconds: 4_500,
    };
    assert.equal(decideLastRequest({...request, isLateStream: true}), false);
    assert.equal(decideLastRequest({...request, isLateStream: false}), true);
  });

  it('serves a late stream that ends in any case, by its deadline', () => {
    assert.equal(
      decideLastRequest({
        expectedMilliseconds: 900,
        limitMilliseconds: 1_000,
        remainingMilliseconds: 1_100,
        isLateStream: true,
      }),
      true,
    );
  });

  it('serves everything while no end is planned', () => {
    assert.equal(
      decideLastRequest({
        expectedMilliseconds: 60_000,
        limitMilliseconds: 60_000,
        remainingMilliseconds: Number.POSITIVE_INFINITY,
        isLateStream: false,
      }),
      true,
    );
  });
});
