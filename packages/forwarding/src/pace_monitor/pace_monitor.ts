/**
 * Log and metrics of the pace of endpoints.
 */
import type {EndpointState} from '@briarpin/scheduling';
import type {EventLogger} from '@briarpin/telemetry';

import type {EndpointPace} from '../endpoint_paces/endpoint_paces.js';

/** Ratios to the mean of the service at which an endpoint counts as slow or fast. */
const SLOW_RATIO = 1.3;
const FAST_RATIO = 0.8;

/**
 * Share by which a ratio must pass a bound to leave a class, so that an estimate
 * at the bound does not log a line for each sample.
 */
const HYSTERESIS_SHARE = 0.08;

/** Class of an endpoint by its pace; new ones have neither samples nor reports. */
export type PaceClass = 'slow' | 'usual' | 'fast' | 'new';

/** State of an endpoint for metrics. */
export interface MonitoredPace {
  readonly endpoint: string;
  /** Time between two events, or of a call, without load. */
  readonly paceMilliseconds: number;
  /** Open requests that it takes now. */
  readonly concurrencyLimit: number;
}

interface Monitored extends MonitoredPace {
  readonly paceClass: PaceClass;
}

/**
 * Logs an endpoint whose class changes, and keeps the last state of each.
 */
export class PaceMonitor {
  private readonly monitored = new Map<string, Monitored>();

  /**
   * @param logger - Receives the lines `endpoint_pace`; absent in simulations
   */
  constructor(private readonly logger?: Pick<EventLogger, 'info'>) {}

  /** Records the state of an endpoint that a choice has used. */
  record(
    {id, concurrencyLimit}: Pick<EndpointState, 'id' | 'concurrencyLimit'>,
    pace: EndpointPace,
  ): void {
    const previous = this.monitored.get(id)?.paceClass;
    const paceClass = classify(pace, previous);
    const paceMilliseconds = pace.milliseconds;
    this.monitored.set(id, {
      endpoint: id,
      paceMilliseconds,
      concurrencyLimit,
      paceClass,
    });
    if (paceClass !== previous) {
      this.logger?.info('endpoint_pace', {
        endpoint: id,
        class: paceClass,
        previous,
        milliseconds: Math.round(paceMilliseconds * 10) / 10,
        ratio: Math.round(pace.ratio * 100) / 100,
        samples: pace.samples,
        reports: pace.reports,
        age: pace.samples > 0 ? Math.round(pace.ageMilliseconds) : undefined,
        limit: concurrencyLimit,
      });
    }
  }

  /** Removes an endpoint that has left. */
  remove(endpointId: string): void {
    this.monitored.delete(endpointId);
  }

  /** Returns the last state of each endpoint that states its pace. */
  list(): MonitoredPace[] {
    return [...this.monitored.values()];
  }
}

function classify(
  {ratio, samples, reports}: EndpointPace,
  previous: PaceClass | undefined,
): PaceClass {
  if (samples === 0 && reports === 0) {
    return 'new';
  }
  const slowRatio =
    SLOW_RATIO * (previous === 'slow' ? 1 - HYSTERESIS_SHARE : 1);
  const fastRatio =
    FAST_RATIO * (previous === 'fast' ? 1 + HYSTERESIS_SHARE : 1);
  if (ratio >= slowRatio) {
    return 'slow';
  }
  return ratio <= fastRatio ? 'fast' : 'usual';
}
