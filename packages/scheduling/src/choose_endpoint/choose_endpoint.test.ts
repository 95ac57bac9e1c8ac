/**
 * Tests that a request goes to the endpoint with the shortest expected wait,
 * also between load reports, and leaves its region only for a clear gain.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {chooseEndpoint, type EndpointCandidate} from './choose_endpoint.js';

const OPTIONS = {
  random: () => 0,
  otherRegionsAllowed: true,
  millisecondsPerPromptToken: 0.1,
};

function candidate(
  instance: string,
  overrides: Partial<EndpointCandidate> = {},
): EndpointCandidate {
  return {
    instance,
    reportedWaitMilliseconds: 0,
    reportAgeMilliseconds: 0,
    sentSinceReport: 0,
    openRequests: 0,
    waitPerRequestMilliseconds: 10,
    roundTripMilliseconds: 1,
    isOtherRegion: false,
    cachedPromptTokens: 0,
    isStalled: false,
    ...overrides,
  };
}

/** Alternates between the first and the last candidate. */
function alternate(): () => number {
  let draws = 0;
  return () => (draws++ % 2 === 0 ? 0 : 0.99);
}

describe('chooseEndpoint', () => {
  it('chooses the endpoint with the shorter wait of two samples', () => {
    const busy = candidate('busy', {reportedWaitMilliseconds: 500});
    const chosen = chooseEndpoint([busy, candidate('idle')], {
      ...OPTIONS,
      random: alternate(),
    });
    assert.equal(chosen?.instance, 'idle');
  });

  it('counts requests sent since the last report', () => {
    const sent = candidate('sent', {sentSinceReport: 20});
    const chosen = chooseEndpoint([sent, candidate('other')], {
      ...OPTIONS,
      random: alternate(),
    });
    assert.equal(chosen?.instance, 'other');
  });

  it('prefers the endpoint with the cached prefix unless it is loaded', () => {
    const holder = candidate('holder', {cachedPromptTokens: 1_000});
    const others = [candidate('other'), holder];
    assert.equal(chooseEndpoint(others, OPTIONS)?.instance, 'holder');
    const loaded = {...holder, reportedWaitMilliseconds: 200};
    const chosen = chooseEndpoint([candidate('other'), loaded], OPTIONS);
    assert.equal(chosen?.instance, 'other');
  });

  it('uses another region only for a long local wait, within the budget', () => {
    const away = candidate('away', {
      isOtherRegion: true,
      roundTripMilliseconds: 60,
    });
    const near = candidate('near', {reportedWaitMilliseconds: 20});
    assert.equal(chooseEndpoint([near, away], OPTIONS)?.instance, 'near');
    const full = candidate('full', {reportedWaitMilliseconds: 500});
    assert.equal(chooseEndpoint([full, away], OPTIONS)?.instance, 'away');
    const spent = {...OPTIONS, otherRegionsAllowed: false};
    assert.equal(chooseEndpoint([full, away], spent)?.instance, 'full');
    assert.equal(chooseEndpoint([away], spent)?.instance, 'away');
  });

  it('uses stalled endpoints and those without a recent report last', () => {
    const stalled = candidate('stalled', {isStalled: true});
    const silent = candidate('silent', {reportAgeMilliseconds: 60_000});
    const busy = candidate('busy', {reportedWaitMilliseconds: 900});
    const all = [stalled, silent, busy];
    assert.equal(chooseEndpoint(all, OPTIONS)?.instance, 'busy');
    const chosen = chooseEndpoint([stalled, silent], OPTIONS);
    assert.equal(chosen?.instance, 'silent');
  });

  it('returns undefined without candidates', () => {
    assert.equal(chooseEndpoint([], OPTIONS), undefined);
  });
});
