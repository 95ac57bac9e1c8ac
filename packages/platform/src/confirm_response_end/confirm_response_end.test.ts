/**
 * Tests of the decision on the end of a body: guards against an answer that was
 * broken off and counts as complete, and against a needless probe.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {confirmResponseEnd} from './confirm_response_end.js';

describe('confirmResponseEnd', () => {
  const crashed = () => Promise.resolve(true);
  const alive = () => Promise.resolve(false);
  const neverAsked = () => Promise.reject(new Error('asked'));

  for (const framing of ['length', 'chunks'] as const) {
    it(`decides by the ${framing} alone`, async () => {
      for (const isWhole of [true, false]) {
        const end = {framing, isWhole: () => isWhole};
        assert.equal(await confirmResponseEnd(end, neverAsked), isWhole);
      }
    });
  }

  describe('of a body that only its connection delimits', () => {
    it('is complete after an orderly close by a server that lives', async () => {
      const end = {framing: 'connection', isWhole: () => true} as const;
      assert.equal(await confirmResponseEnd(end, alive), true);
    });

    it('is incomplete when the server has crashed', async () => {
      const end = {framing: 'connection', isWhole: () => true} as const;
      assert.equal(await confirmResponseEnd(end, crashed), false);
    });

    it('is incomplete after a reset, without a probe', async () => {
      const end = {framing: 'connection', isWhole: () => false} as const;
      assert.equal(await confirmResponseEnd(end, neverAsked), false);
    });

    it('is incomplete when a reset is reported during the probe', async () => {
      let isWhole = true;
      const end = {framing: 'connection', isWhole: () => isWhole} as const;
      const resetMeanwhile = async () => {
        isWhole = false;
        return alive();
      };
      assert.equal(await confirmResponseEnd(end, resetMeanwhile), false);
    });
  });
});
