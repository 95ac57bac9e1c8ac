/**
 * How long requests have taken, by route and by size.
 */
import type {Route} from '@briarpin/coordination';
import {DurationEstimator} from '@briarpin/scheduling';

import type {RequestMetadata} from '../dialect/dialect.js';

/** Time per generated token that is assumed until streams have ended. */
const ASSUMED_MILLISECONDS_PER_TOKEN = 15;

/** Latency targets within which a call is assumed to end. */
const ASSUMED_TARGETS = 2;

/** Maximum number of estimates; routes come and go. */
const MAXIMUM_ESTIMATES = 2_048;

/** A request whose duration is estimated. */
export interface EstimatedRequest {
  readonly route: Route;
  readonly metadata: Pick<RequestMetadata, 'maximumOutputTokens'>;
}

/**
 * Learns the durations of requests. Those of a route are told apart by the power
 * of two of the tokens that they may generate.
 */
export class RequestDurations {
  private readonly estimators = new Map<string, DurationEstimator>();

  /** Records how long a request took that was served to its end. */
  record(request: EstimatedRequest, milliseconds: number): void {
    const key = createKey(request);
    let estimator = this.estimators.get(key);
    if (estimator === undefined) {
      this.removeOldest();
      estimator = new DurationEstimator();
      this.estimators.set(key, estimator);
    }
    estimator.record(milliseconds);
  }

  /**
   * Returns the time in milliseconds within which nearly all requests of this
   * kind end.
   */
  estimate(request: EstimatedRequest): number {
    const learned = this.estimators.get(createKey(request))?.upperMilliseconds;
    return learned ?? assumeDuration(request);
  }

  private removeOldest(): void {
    const [oldest] = this.estimators.keys();
    if (oldest !== undefined && this.estimators.size >= MAXIMUM_ESTIMATES) {
      this.estimators.delete(oldest);
    }
  }
}

function createKey({route, metadata}: EstimatedRequest): string {
  const size = Math.ceil(Math.log2(metadata.maximumOutputTokens + 1));
  return `${size} ${route.name}`;
}

function assumeDuration({route, metadata}: EstimatedRequest): number {
  const {targetLatencyMilliseconds, timeoutMilliseconds, isStream} = route;
  const assumed = isStream
    ? targetLatencyMilliseconds +
      metadata.maximumOutputTokens * ASSUMED_MILLISECONDS_PER_TOKEN
    : targetLatencyMilliseconds * ASSUMED_TARGETS;
  return Math.min(assumed, timeoutMilliseconds);
}
