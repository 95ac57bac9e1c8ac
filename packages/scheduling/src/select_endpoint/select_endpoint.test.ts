/**
 * Tests that the cost of an endpoint weighs latency against the risk of
 * failures, preemptions and interrupted runs.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {selectEndpoint, type EndpointState} from './select_endpoint.js';

function createState(
  id: string,
  change?: Partial<EndpointState>,
): EndpointState {
  return {
    id,
    openRequests: 0,
    slots: 8,
    concurrencyLimit: 8,
    usedTokens: 0,
    memoryTokens: Number.POSITIVE_INFINITY,
    evacuationShare: 0,
    copyMillisecondsPerToken: 0,
    roundTripMilliseconds: 0,
    failureShare: 0,
    waitMilliseconds: 20,
    ...change,
  };
}

function select(states: readonly EndpointState[], neededTokens = 0) {
  const options = {random: () => 0.5, neededTokens};
  return selectEndpoint(states, options)?.id;
}

describe('selectEndpoint', () => {
  it('returns undefined without candidates', () => {
    assert.equal(select([]), undefined);
  });

  it('prefers the nearer endpoint while both have free capacity', () => {
    const near = createState('near', {openRequests: 3});
    const far = createState('far', {roundTripMilliseconds: 24});
    assert.equal(select([far, near]), 'near');
  });

  it('prefers the farther endpoint when the nearer one has a queue', () => {
    const near = createState('near', {waitMilliseconds: 80});
    const far = createState('far', {roundTripMilliseconds: 24});
    assert.equal(select([near, far]), 'far');
  });

  it('avoids an endpoint with a high failure share', () => {
    const failing = createState('failing', {failureShare: 0.5});
    const far = createState('far', {roundTripMilliseconds: 24});
    assert.equal(select([failing, far]), 'far');
  });

  describe('engine memory', () => {
    const memoryTokens = 30_000;

    it('prefers the engine with more free memory', () => {
      const full = createState('full', {usedTokens: 20_000, memoryTokens});
      const empty = createState('empty', {usedTokens: 8_000, memoryTokens});
      assert.equal(select([full, empty], 4_000), 'empty');
    });

    it('prefers a farther engine when the nearer one risks a preemption', () => {
      const near = createState('near', {usedTokens: 28_000, memoryTokens});
      const far = createState('far', {
        usedTokens: 20_000,
        memoryTokens,
        roundTripMilliseconds: 24,
      });
      assert.equal(select([near, far], 4_000), 'far');
    });
  });

  describe('evacuation of engines', () => {
    const memoryTokens = 30_000;

    it('prefers an engine whose runs fit into the other engines of its zone', () => {
      const alone = createState('alone', {memoryTokens, evacuationShare: 2});
      const near = createState('near', {
        memoryTokens,
        usedTokens: 10_000,
        evacuationShare: 0.5,
        roundTripMilliseconds: 24,
      });
      assert.equal(select([alone, near], 4_000), 'near');
    });

    it('prefers an engine whose runs can all be copied before it stops', () => {
      const copyMillisecondsPerToken = 0.055;
      const change = {memoryTokens: 40_000, copyMillisecondsPerToken};
      const full = createState('full', {...change, usedTokens: 24_000});
      const far = createState('far', {
        ...change,
        usedTokens: 14_000,
        roundTripMilliseconds: 24,
        waitMilliseconds: 120,
      });
      assert.equal(select([full, far], 4_000), 'far');
    });

    it('prefers a higher evacuation share over a full engine memory', () => {
      const alone = createState('alone', {memoryTokens, evacuationShare: 2});
      const full = createState('full', {
        memoryTokens,
        usedTokens: 29_000,
        evacuationShare: 0.5,
      });
      assert.equal(select([alone, full], 4_000), 'alone');
    });
  });

  describe('pace of engines', () => {
    const memoryTokens = 27_000;
    const fast = createState('fast', {
      memoryTokens,
      decoding: {eventMilliseconds: 27, tokensPerEvent: 4},
    });
    const slow = createState('slow', {
      memoryTokens,
      decoding: {eventMilliseconds: 64, tokensPerEvent: 4},
    });
    const selectFor = (states: readonly EndpointState[], tokens: number) =>
      selectEndpoint(states, {
        random: () => 0.5,
        neededTokens: 3_000 + tokens,
        output: {tokens, targetGapMilliseconds: 180},
      })?.id;

    it('sends a long output to the fast engine, though more of it is in use', () => {
      const used = {...fast, usedTokens: 15_000, openRequests: 6};
      assert.equal(selectFor([slow, used], 750), 'fast');
    });

    it('sends a short output to the slow engine once the fast one is busier', () => {
      const used = {...fast, usedTokens: 12_000, openRequests: 4};
      assert.equal(selectFor([used, slow], 8), 'slow');
    });

    it('does not overfill the memory of the fast engine', () => {
      const full = {...fast, usedTokens: 22_500};
      assert.equal(selectFor([full, slow], 750), 'slow');
    });

    it('does not queue a long output behind two prompts of the fast engine', () => {
      const busy = {...fast, waitMilliseconds: 600};
      assert.equal(selectFor([busy, slow], 750), 'slow');
    });

    it('avoids an engine whose events would be late in a slow phase', () => {
      const late = createState('late', {
        decoding: {eventMilliseconds: 120, tokensPerEvent: 40},
      });
      const far = createState('far', {
        decoding: {eventMilliseconds: 50, tokensPerEvent: 40},
        roundTripMilliseconds: 24,
        waitMilliseconds: 120,
      });
      assert.equal(selectFor([late, far], 750), 'far');
    });

    it('selects as before among engines that do not state their pace', () => {
      const near = createState('near');
      const far = createState('far', {roundTripMilliseconds: 24});
      assert.equal(selectFor([far, near], 750), 'near');
    });
  });

  describe('limit of open requests', () => {
    const atLimit = {concurrencyLimit: 2, openRequests: 2};

    it('avoids an endpoint at its limit while another has room', () => {
      const limited = createState('limited', atLimit);
      const far = createState('far', {
        openRequests: 7,
        roundTripMilliseconds: 24,
        waitMilliseconds: 600,
      });
      assert.equal(select([limited, far]), 'far');
    });

    it('never rejects, and spreads requests when all are at their limits', () => {
      const limited = createState('limited', {...atLimit, openRequests: 6});
      const other = createState('other', {...atLimit, openRequests: 3});
      assert.equal(select([limited]), 'limited');
      assert.equal(select([limited, other]), 'other');
    });

    it('does not count the slots as a limit', () => {
      const full = createState('full', {openRequests: 8});
      const far = createState('far', {roundTripMilliseconds: 60});
      assert.equal(select([full, far]), 'full');
    });
  });

  it('breaks ties between equal endpoints at random', () => {
    const states = ['a', 'b', 'c'].map(id => createState(id));
    const draws = [0.9, 0.1, 0.5];
    const random = () => draws.shift() ?? 0;
    assert.equal(selectEndpoint(states, {random, neededTokens: 0})?.id, 'b');
  });
});
