/**
 * Predicted decoding of an engine.
 */
import type {EngineProfile} from '@briarpin/coordination';
import {computeBatchSlowdown, type EndpointState} from '@briarpin/scheduling';

import type {EndpointPace} from '../endpoint_paces/endpoint_paces.js';

/**
 * Predicts the time between events once an engine also runs the request.
 *
 * @param engine - Profile of the engine; undefined for plain endpoints
 * @param pace - Its estimated pace
 * @param requests - Open requests there
 * @returns Prediction for endpoint selection; undefined for plain endpoints and
 *   without a number of tokens in an event
 */
export function predictDecoding(
  engine: EngineProfile | undefined,
  pace: EndpointPace,
  requests: number,
): EndpointState['decoding'] {
  // The schema of the configuration does not exclude 0.
  if (engine === undefined || engine.tokensPerEvent <= 0) {
    return undefined;
  }
  return {
    eventMilliseconds: pace.milliseconds * computeBatchSlowdown(requests + 1),
    tokensPerEvent: engine.tokensPerEvent,
  };
}
