/**
 * A request that crashes every endpoint that runs it crashes at most two.
 *
 * Guards against a caller that resends such a request and thereby takes down
 * every replica of the model.
 */
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';

import {expectedText, requestCompletion} from '../fleet/gateway_client.js';
import {Fleet} from '../fleet/fleet.js';
import {createTestPlan, KEY, MODEL, OTHER_KEY} from './test_plan.js';

const RESENDS = 20;
const UNRELATED_REQUESTS = 20;

describe('a request that crashes its endpoint', () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await Fleet.start(createTestPlan({engines: 4}));
  });

  after(() => fleet.stop());

  it('crashes at most two endpoints and fails no unrelated request', async () => {
    const unrelated = Promise.all(
      Array.from({length: UNRELATED_REQUESTS}, async (_, index) => {
        const response = await requestCompletion({
          gateway: fleet.gatewayUrls[index % 2] ?? '',
          key: OTHER_KEY,
          model: MODEL,
          prompt: `len=60 seed=${index}`,
        });
        return {response, expected: expectedText(60, index)};
      }),
    );
    for (let index = 0; index < RESENDS; index += 1) {
      const response = await requestCompletion({
        gateway: fleet.gatewayUrls[index % 2] ?? '',
        key: KEY,
        model: MODEL,
        prompt: 'crash please',
        deadlineMilliseconds: 5_000,
      });
      assert.equal(response.complete, false);
    }
    const crashCount = [...fleet.engines.values()].reduce(
      (total, {crashes}) => total + crashes,
      0,
    );
    assert.ok(
      crashCount >= 1 && crashCount <= 2,
      `${crashCount} endpoints crashed`,
    );
    for (const {response, expected} of await unrelated) {
      assert.equal(response.complete, true, JSON.stringify(response.error));
      assert.equal(response.text, expected);
    }
  });
});
