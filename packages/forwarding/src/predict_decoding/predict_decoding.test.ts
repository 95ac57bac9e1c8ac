/**
 * Tests the predicted decoding of an engine.
 *
 * Guards against a decode cost at plain endpoints, predictions that leave out the
 * request itself, and a configured 0 that makes all costs infinite, so that no
 * engine is selected.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {EngineProfile} from '@briarpin/coordination';

import type {EndpointPace} from '../endpoint_paces/endpoint_paces.js';
import {predictDecoding} from './predict_decoding.js';

const ENGINE: EngineProfile = {
  slots: 24,
  memoryTokens: 27_000,
  bytesPerToken: 160_000,
  copyLinkMegabitsPerSecond: 24_000,
  supportsMoves: true,
  supportsCheckpoints: true,
  tokensPerEvent: 4,
  copyLifetimeMilliseconds: 5_000,
};

const PACE: EndpointPace = {
  milliseconds: 28,
  ratio: 1,
  samples: 3,
  reports: 0,
  ageMilliseconds: 0,
};

describe('predictDecoding', () => {
  it('predicts nothing for plain endpoints', () => {
    assert.equal(predictDecoding(undefined, PACE, 0), undefined);
  });

  it('predicts nothing for a profile without tokens in an event', () => {
    const engine = {...ENGINE, tokensPerEvent: 0};
    assert.equal(predictDecoding(engine, PACE, 0), undefined);
  });

  it('counts the request itself in the batch', () => {
    const decoding = predictDecoding(ENGINE, PACE, 0);
    const expected = 28 * (1 + 0.12 / 7);
    assert.ok(decoding !== undefined);
    assert.ok(Math.abs(decoding.eventMilliseconds - expected) < 1e-9);
    assert.equal(decoding.tokensPerEvent, 4);
  });

  it('predicts slower events the more requests run', () => {
    const predict = (requests: number) =>
      predictDecoding(ENGINE, PACE, requests)?.eventMilliseconds ?? Number.NaN;
    assert.ok(predict(23) > 1.3 * predict(0));
  });
});
