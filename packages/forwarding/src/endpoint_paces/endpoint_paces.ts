/**
 * Pace of the endpoints that state it in their responses.
 */
import type {EndpointEntry} from '@briarpin/coordination';
import {
  computeMedian,
  isPlausiblePace,
  PaceEstimator,
} from '@briarpin/scheduling';

import {computeBoundedMean} from '../compute_bounded_mean/compute_bounded_mean.js';
import type {ReportedLoad} from '../dialect/dialect.js';
import {toMicroseconds} from '../to_microseconds/to_microseconds.js';

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
  computedAt: number;
  readonly endpointIds: ReadonlySet<string>;
  readonly paces: ReadonlyMap<string, EndpointPace>;
}

/**
 * Estimates the pace of each endpoint from its own responses and from the
 * reports of other gateways. An endpoint takes part if it states its pace, or if
 * others of its service do and none of its own responses has lacked the pace.
 */
export class EndpointPaces {
  private readonly tracked = new Map<string, TrackedPace>();
  /** Times of the newest responses of endpoints that have not stated a pace. */
  private readonly unstatedAt = new Map<string, number>();
  private readonly reportsByGateway = new Map<
    string,
    ReadonlyMap<string, ReportedPace>
  >();
  private readonly estimatesByService = new Map<string, ServiceEstimates>();

  /**
   * @param options - Monotonic clock, in milliseconds
   */
  constructor(private readonly options: {readonly now: () => number}) {}

  /** Records the load that a response states, with or without the pace. */
  recordLoad(endpointId: string, load: ReportedLoad | undefined): void {
    const {now} = this.options;
    if (load?.pacePercent === undefined) {
      if (load !== undefined && !this.tracked.has(endpointId)) {
        this.unstatedAt.set(endpointId, now());
      }
      return;
    }
    this.unstatedAt.delete(endpointId);
    const tracked = this.tracked.get(endpointId) ?? {
      estimator: new PaceEstimator({now}),
      statedAt: now(),
    };
    tracked.statedAt = now();
    tracked.estimator.recordStatedPace(load.pacePercent);
    this.tracked.set(endpointId, tracked);
  }

  /**
   * Returns whether an endpoint takes part. One that has never responded does,
   * so that a dead endpoint among others does not keep its limit.
   */
  isEstimated({id, service}: Pick<EndpointEntry, 'id' | 'service'>): boolean {
    const estimates = this.estimatesByService.get(service);
    return this.tracked.has(id) || estimates?.paces.has(id) === true;
  }

  /**
   * Records a sample of an endpoint that states its pace.
   *
   * @param endpointId - Endpoint
   * @param milliseconds - Time between two events, or time of a call
   * @param slowdown - Factor by which its load is expected to slow it down
   * @param count - Number of events that ended the time together
   */
  recordSample(
    endpointId: string,
    milliseconds: number,
    slowdown: number,
    count = 1,
  ): void {
    this.tracked
      .get(endpointId)
      ?.estimator.recordSample({milliseconds, slowdown, count});
  }

  /**
   * Replaces the estimates of another gateway, by endpoint ID. A report without
   * estimates is not kept: each choice would look up all endpoints in it.
   */
  setReports(
    gateway: string,
    reports: ReadonlyMap<string, ReportedPace>,
  ): void {
    const values = [...reports.values()];
    if (values.some(({eventMicroseconds}) => (eventMicroseconds ?? 0) > 0)) {
      this.reportsByGateway.set(gateway, reports);
    } else {
      this.reportsByGateway.delete(gateway);
    }
  }

  /** Removes the estimates of a gateway that is no longer active. */
  removeGateway(gateway: string): void {
    this.reportsByGateway.delete(gateway);
  }

  /** Removes the samples of an endpoint that has left or restarted. */
  remove(endpointId: string): void {
    this.tracked.delete(endpointId);
    this.unstatedAt.delete(endpointId);
    for (const estimates of this.estimatesByService.values()) {
      estimates.computedAt = Number.NEGATIVE_INFINITY;
    }
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
      endpointIds.every(id => known.endpointIds.has(id))
    ) {
      return known.paces;
    }
    const paces = this.computeEstimates(endpointIds);
    if (paces.size > 0) {
      this.estimatesByService.set(service, {
        computedAt: now,
        endpointIds: new Set(endpointIds),
        paces,
      });
    } else {
      this.estimatesByService.delete(service);
    }
    return paces;
  }

  private computeEstimates(
    endpointIds: readonly string[],
  ): ReadonlyMap<string, EndpointPace> {
    const reports = new Map(
      endpointIds
        .map(id => [id, this.listReports(id)] as const)
        .filter(([id, {length}]) => length > 0 || !this.unstatedAt.has(id)),
    );
    const isStated = [...reports].some(
      ([id, {length}]) => length > 0 || this.tracked.has(id),
    );
    if (!isStated) {
      return new Map();
    }
    const estimates = new Map<string, EndpointPace>();
    const meanMilliseconds = this.computeMean(reports);
    for (const [id, reportedMilliseconds] of reports) {
      const estimator =
        this.tracked.get(id)?.estimator ?? new PaceEstimator(this.options);
      const milliseconds = estimator.estimate({
        reportedMilliseconds,
        meanMilliseconds,
      });
      if (milliseconds !== undefined && meanMilliseconds !== undefined) {
        estimates.set(id, {
          milliseconds,
          ratio: milliseconds / meanMilliseconds,
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

  private listReports(endpointId: string): number[] {
    const milliseconds: number[] = [];
    for (const reports of this.reportsByGateway.values()) {
      const microseconds = reports.get(endpointId)?.eventMicroseconds ?? 0;
      const reported = microseconds / MICROSECONDS_PER_MILLISECOND;
      if (isPlausiblePace(reported)) {
        milliseconds.push(reported);
      }
    }
    return milliseconds;
  }

  /** Averages the endpoints, each by its own samples or by its reports. */
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
    return computeBoundedMean(known);
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
    for (const [id, respondedAt] of this.unstatedAt) {
      if (now - respondedAt > LIFETIME_MILLISECONDS) {
        this.unstatedAt.delete(id);
      }
    }
  }
}
