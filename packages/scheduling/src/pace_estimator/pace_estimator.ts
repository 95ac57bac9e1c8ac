/**
 * Estimate of how fast one endpoint works.
 */
import {computeMedian} from '../compute_median/compute_median.js';

/**
 * Time over which samples are averaged into one value. About as long as a short
 * slow phase, so that a phase affects only one or two of the values.
 */
const INTERVAL_MILLISECONDS = 100;

/**
 * Number of intervals of which the median is taken: slow phases of 15% of the
 * time touch less than half of them, and a lasting change shows after 8.
 */
const MAXIMUM_INTERVALS = 15;

/** Age, relative to the newest interval, at which an interval is discarded. */
const INTERVAL_LIFETIME_MILLISECONDS = 5_000;

/** Time without samples after which the weight of an estimate is halved. */
const HALF_LIFE_MILLISECONDS = 4_000;

/** Age of the newest sample at which the estimate is no longer reported. */
const REPORTED_AGE_MILLISECONDS = 3_000;

/** Number of intervals at which the own samples and the rest weigh the same. */
const PRIOR_INTERVALS = 3;

/** Number of reports at which they and the mean of the service weigh the same. */
const PRIOR_REPORTS = 1;

/** Bounds of a plausible time; others are the result of a fault. */
const MINIMUM_PLAUSIBLE_MILLISECONDS = 0.05;
const MAXIMUM_PLAUSIBLE_MILLISECONDS = 30_000;

/**
 * Ratio to the own estimate at which a sample is limited: a frozen gateway or a
 * preempted generation shows one pause, which is not its pace.
 */
const MAXIMUM_SAMPLE_RATIO = 10;

/** Bounds of a plausible stated pace, in percent of the usual time. */
const MINIMUM_PACE_PERCENT = 20;
const MAXIMUM_PACE_PERCENT = 2_000;

/** Stated pace of an endpoint that works as usual. */
const USUAL_PACE_PERCENT = 100;

/**
 * Number of stated paces of which the median replaces 100 as the usual one, and
 * the number from which on it does: an endpoint that states 170 most of the time
 * is slow, and is not in a slow phase.
 */
const MAXIMUM_STATED_PACES = 15;
const MINIMUM_STATED_PACES = 5;

/** Time for which a stated pace applies to samples; it changes often. */
const STATED_PACE_LIFETIME_MILLISECONDS = 100;

/** Samples that ended within one interval. */
interface Interval {
  readonly startedAt: number;
  totalMilliseconds: number;
  samples: number;
}

/** A measured time. */
export interface PaceSample {
  /** Time between two events of a stream, or time of a call. */
  readonly milliseconds: number;
  /**
   * How many times longer it is expected to take at the load of the endpoint
   * than without load; 1 without load.
   */
  readonly slowdown: number;
  /**
   * Number of events that ended the time together, which share it as one sample
   * each; 1 by default.
   */
  readonly count?: number;
}

/** What is known of the endpoint from elsewhere. */
export interface PaceContext {
  /** Estimates that other gateways report, in milliseconds. */
  readonly reportedMilliseconds: readonly number[];
  /** Mean of the endpoints of the service; undefined if it is not known. */
  readonly meanMilliseconds: number | undefined;
}

/**
 * Estimates the time between two events, or the time of a call, at one endpoint
 * under usual conditions and without load.
 *
 * The own estimate is the median of averages over short intervals. Without
 * samples it gives way to what other gateways report and to the mean of the
 * service.
 *
 * @example
 * const estimator = new PaceEstimator({now: () => performance.now()});
 * estimator.recordSample({milliseconds: 28, slowdown: 1});
 * estimator.estimate({reportedMilliseconds: [], meanMilliseconds: undefined}); //=> 28
 */
export class PaceEstimator {
  private intervals: Interval[] = [];
  private sampledAt = Number.NEGATIVE_INFINITY;
  private statedPercents: number[] = [];
  private statedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param options - Monotonic clock, in milliseconds
   */
  constructor(private readonly options: {readonly now: () => number}) {}

  /** Time since the newest sample, in milliseconds; infinite without one. */
  get ageMilliseconds(): number {
    return this.options.now() - this.sampledAt;
  }

  /** Number of intervals with samples that the estimate is computed from. */
  get intervalCount(): number {
    return this.intervals.length;
  }

  /**
   * Records the pace that the endpoint states.
   *
   * @param percent - Time of its work in percent of the usual time; ignored
   *   unless it is plausible
   */
  recordStatedPace(percent: number): void {
    if (percent >= MINIMUM_PACE_PERCENT && percent <= MAXIMUM_PACE_PERCENT) {
      this.statedPercents = [...this.statedPercents, percent].slice(
        -MAXIMUM_STATED_PACES,
      );
      this.statedAt = this.options.now();
    }
  }

  /** Records a sample that ends now; an implausible one is ignored. */
  recordSample({milliseconds, slowdown, count = 1}: PaceSample): void {
    if (!(
      milliseconds >= 0 && milliseconds <= MAXIMUM_PLAUSIBLE_MILLISECONDS
    )) {
      return;
    }
    const now = this.options.now();
    const usual = milliseconds / slowdown / this.computeStatedFactor(now);
    const limit = (this.computeMedian() ?? usual) * MAXIMUM_SAMPLE_RATIO;
    const interval = this.openInterval(now);
    interval.totalMilliseconds += Math.min(limit, usual);
    interval.samples += count;
    this.sampledAt = now;
  }

  /**
   * Computes the estimate from recent own samples, to report it.
   *
   * @returns Milliseconds; undefined without recent samples
   */
  computeOwnMilliseconds(): number | undefined {
    return this.ageMilliseconds <= REPORTED_AGE_MILLISECONDS
      ? this.computeMedian()
      : undefined;
  }

  /**
   * Combines the own samples with what is known from elsewhere.
   *
   * @returns Milliseconds; undefined if nothing is known
   */
  estimate(context: PaceContext): number | undefined {
    const other = combineReports(context);
    const own = this.computeMedian();
    if (own === undefined || other === undefined) {
      return own ?? other;
    }
    const count = this.intervals.length;
    const weight =
      (count / (count + PRIOR_INTERVALS)) *
      0.5 ** (this.ageMilliseconds / HALF_LIFE_MILLISECONDS);
    return other + (own - other) * weight;
  }

  /** Computes the stated pace of this moment, relative to the usual one. */
  private computeStatedFactor(now: number): number {
    const percents = this.statedPercents;
    const current = percents.at(-1);
    if (
      current === undefined ||
      now - this.statedAt > STATED_PACE_LIFETIME_MILLISECONDS
    ) {
      return 1;
    }
    const usual =
      percents.length < MINIMUM_STATED_PACES
        ? USUAL_PACE_PERCENT
        : (computeMedian(percents) ?? USUAL_PACE_PERCENT);
    return current / usual;
  }

  private computeMedian(): number | undefined {
    return computeMedian(
      this.intervals
        .map(({totalMilliseconds, samples}) => totalMilliseconds / samples)
        .filter(isPlausiblePace),
    );
  }

  /** Returns the interval of a time, and discards those that are too old. */
  private openInterval(now: number): Interval {
    const newest = this.intervals.at(-1);
    if (
      newest !== undefined &&
      now - newest.startedAt < INTERVAL_MILLISECONDS
    ) {
      return newest;
    }
    const opened = {startedAt: now, totalMilliseconds: 0, samples: 0};
    this.intervals = [...this.intervals, opened]
      .filter(
        ({startedAt}) => now - startedAt <= INTERVAL_LIFETIME_MILLISECONDS,
      )
      .slice(-MAXIMUM_INTERVALS);
    return opened;
  }
}

/** Combines reported estimates, of which some may be absurd, with the mean. */
function combineReports({
  reportedMilliseconds,
  meanMilliseconds,
}: PaceContext): number | undefined {
  const reports = reportedMilliseconds.filter(isPlausiblePace);
  const reported = computeMedian(reports);
  if (reported === undefined || meanMilliseconds === undefined) {
    return reported ?? meanMilliseconds;
  }
  const weight = reports.length / (reports.length + PRIOR_REPORTS);
  return meanMilliseconds + (reported - meanMilliseconds) * weight;
}

/**
 * Returns whether an estimate may be right; others are the result of a fault.
 *
 * @param milliseconds - Estimated time
 */
export function isPlausiblePace(milliseconds: number): boolean {
  return (
    milliseconds >= MINIMUM_PLAUSIBLE_MILLISECONDS &&
    milliseconds <= MAXIMUM_PLAUSIBLE_MILLISECONDS
  );
}
