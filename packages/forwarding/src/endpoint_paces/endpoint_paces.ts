/**
 * Pace of the endpoints that state it in their responses.
 */
import {computeMedian, PaceEstimator} from '@briarpin/scheduling';

import type {ReportedLoad} from '../dialect/dialect.js';

/**
 * Time without a sample after which the samples of an endpoint are discarded,
 * such as those of one that has left while its last response was read.
 */
const LIFETIME_MILLISECONDS = 60_000;

/**
 * Time for which the estimates of a service are used again: they change little
 * within an interval of samples, and a queue asks for them very often.
 */
const ESTIMATES_LIFETIME_MILLISECONDS = 50;

/** Largest ratio of an estimate to the median of its service, either way. */
const MAXIMUM_RATIO = 8;

/** Largest value of a field of 32 bits. */
const MAXIMUM_REPORTED_MICROSECONDS = 2 ** 32 - 1;

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Estimate that a gateway reports for an endpoint. */
export interface ReportedPace {
  /** In microseconds; 0 or absent if it is unknown. */
  readonly eventMicroseconds?: number;
}

/** Estimated pace of an endpoint. */
export interface EndpointPace {
  /** Time between two events, or of a call, without load. */
  readonly milliseconds: number;
  /** The same relative to the mean of its service. */
  readonly ratio: number;
  /** Number of intervals with own samples. */
  readonly samples: number;
  /** Number of gateways that report an estimate. */
  readonly reports: number;
  /** Age of the newest own sample; infinite without one. */
  readonly ageMilliseconds: number;
}

/** Samples of one endpoint. */
interface TrackedPace {
  readonly estimator: PaceEstimator;
  /** Time of the newest response that stated the pace. */
  statedAt: number;
}

/** Estimates of the endpoints of one service. */
interface ServiceEstimates {
  readonly computedAt: number;
  readonly paces: ReadonlyMap<string, EndpointPace>;
}

/**
 * Estimates the pace of each endpoint from its own responses and from the
 * reports of other gateways. An endpoint takes part once one of its responses
 * has stated its pace, until it leaves or restarts.
 */
export class EndpointPaces {
  private readonly tracked = new Map<string, TrackedPace>();
  private readonly reportsByGateway = new Map<
    string,
    ReadonlyMap<string, ReportedPace>
  >();
  private readonly estimatesByService = new Map<string, ServiceEstimates>();

  /**
   * @param options - Monotonic clock, in milliseconds
   */
  constructor(private readonly options: {readonly now: () => number}) {}

  /** Records the load that a response states; without a pace, it is ignored. */
  recordLoad(endpointId: string, load: ReportedLoad | undefined): void {
    if (load?.pacePercent === undefined) {
      return;
    }
    const {now} = this.options;
    const tracked = this.tracked.get(endpointId) ?? {
      estimator: new PaceEstimator({now}),
      statedAt: now(),
    };
    tracked.statedAt = now();
    tracked.estimator.recordStatedPace(load.pacePercent);
    this.tracked.set(endpointId, tracked);
  }

  /** Returns whether a response of an endpoint has stated its pace. */
  isStated(endpointId: string): boolean {
    return this.tracked.has(endpointId);
  }

  /**
   * Records a sample of an endpoint that states its pace.
   *
   * @param endpointId - Endpoint
   * @param milliseconds - Time between two events, or time of a call
   * @param slowdown - Factor by which its load is expected to slow it down
   */
  recordSample(
    endpointId: string,
    milliseconds: number,
    slowdown: number,
  ): void {
    this.tracked
      .get(endpointId)
      ?.estimator.recordSample({milliseconds, slowdown});
  }

  /** Replaces the estimates of another gateway, by endpoint ID. */
  setReports(
    gateway: string,
    reports: ReadonlyMap<string, ReportedPace>,
  ): void {
    this.reportsByGateway.set(gateway, reports);
  }

  /** Removes the estimates of a gateway that is no longer active. */
  removeGateway(gateway: string): void {
    this.reportsByGateway.delete(gateway);
  }

  /** Removes the samples of an endpoint that has left or restarted. */
  remove(endpointId: string): void {
    this.tracked.delete(endpointId);
    this.estimatesByService.clear();
  }

  /**
   * Estimates the pace of the endpoints of one service.
   *
   * @param service - Name of the service
   * @param endpointIds - Endpoints of the service
   * @returns Estimates by endpoint ID; empty if none of the endpoints states its
   *   pace
   */
  estimateAll(
    service: string,
    endpointIds: readonly string[],
  ): ReadonlyMap<string, EndpointPace> {
    const now = this.options.now();
    const known = this.estimatesByService.get(service);
    if (
      known !== undefined &&
      now - known.computedAt < ESTIMATES_LIFETIME_MILLISECONDS &&
      endpointIds.every(id => known.paces.has(id))
    ) {
      return known.paces;
    }
    const paces = this.computeEstimates(endpointIds);
    if (paces.size > 0) {
      this.estimatesByService.set(service, {computedAt: now, paces});
    } else {
      this.estimatesByService.delete(service);
    }
    return paces;
  }

  private computeEstimates(
    endpointIds: readonly string[],
  ): ReadonlyMap<string, EndpointPace> {
    const reports = new Map(
      endpointIds.map(id => [id, this.listReports(id)] as const),
    );
    const isStated = endpointIds.some(
      id => this.tracked.has(id) || (reports.get(id)?.length ?? 0) > 0,
    );
    const estimates = new Map<string, EndpointPace>();
    if (!isStated) {
      return estimates;
    }
    const meanMilliseconds = this.computeMean(reports);
    for (const [id, reportedMilliseconds] of reports) {
      const context = {reportedMilliseconds, meanMilliseconds};
      const estimator = this.tracked.get(id)?.estimator ?? this.unsampled;
      const milliseconds = estimator.estimate(context);
      if (milliseconds !== undefined && meanMilliseconds !== undefined) {
        const ratio = milliseconds / meanMilliseconds;
        estimates.set(id, {
          milliseconds,
          ratio,
          samples: estimator.intervalCount,
          reports: reportedMilliseconds.length,
          ageMilliseconds: estimator.ageMilliseconds,
        });
      }
    }
    return estimates;
  }

  /**
   * Returns the estimates from own samples, to report them, with the newest
   * sample first.
   *
   * @returns Microseconds by endpoint ID
   */
  createReport(): ReadonlyMap<string, number> {
    this.removeOld();
    const byAge = [...this.tracked].sort(
      ([, left], [, right]) =>
        left.estimator.ageMilliseconds - right.estimator.ageMilliseconds,
    );
    const report = new Map<string, number>();
    for (const [id, {estimator}] of byAge) {
      const milliseconds = estimator.computeOwnMilliseconds();
      if (milliseconds !== undefined) {
        report.set(id, toMicroseconds(milliseconds));
      }
    }
    return report;
  }

  private get unsampled(): PaceEstimator {
    return new PaceEstimator(this.options);
  }

  private listReports(endpointId: string): number[] {
    const milliseconds: number[] = [];
    for (const reports of this.reportsByGateway.values()) {
      const {eventMicroseconds = 0} = reports.get(endpointId) ?? {};
      if (eventMicroseconds > 0) {
        milliseconds.push(eventMicroseconds / MICROSECONDS_PER_MILLISECOND);
      }
    }
    return milliseconds;
  }

  /** Averages the endpoints; an absurd estimate is limited first. */
  private computeMean(
    reports: ReadonlyMap<string, readonly number[]>,
  ): number | undefined {
    const known = [...reports]
      .map(
        ([id, reported]) =>
          this.tracked.get(id)?.estimator.computeOwnMilliseconds() ??
          computeMedian(reported),
      )
      .filter(milliseconds => milliseconds !== undefined);
    const median = computeMedian(known);
    if (median === undefined) {
      return undefined;
    }
    const bounded = known.map(milliseconds =>
      Math.min(
        median * MAXIMUM_RATIO,
        Math.max(median / MAXIMUM_RATIO, milliseconds),
      ),
    );
    return bounded.reduce((sum, value) => sum + value, 0) / bounded.length;
  }

  private removeOld(): void {
    const now = this.options.now();
    for (const [id, {statedAt, estimator}] of this.tracked) {
      const ageMilliseconds = Math.min(
        now - statedAt,
        estimator.ageMilliseconds,
      );
      if (ageMilliseconds > LIFETIME_MILLISECONDS) {
        this.tracked.delete(id);
      }
    }
  }
}

function toMicroseconds(milliseconds: number): number {
  return Math.min(
    MAXIMUM_REPORTED_MICROSECONDS,
    Math.max(1, Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND)),
  );
}
