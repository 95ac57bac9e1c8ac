/**
 * Running estimate of how long requests of one kind take.
 */

/** Weights of the newest sample in the mean and in the deviation. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** Deviations above the mean within which nearly all requests end. */
const DEVIATIONS = 4;

/**
 * Smoothed mean and mean deviation of durations, as TCP estimates its
 * retransmission timeout.
 *
 * @example
 * const estimator = new DurationEstimator();
 * estimator.record(100);
 * estimator.upperMilliseconds; //=> 300
 */
export class DurationEstimator {
  private mean: number | undefined;
  private deviation = 0;

  /** Time within which nearly all requests end; absent without samples. */
  get upperMilliseconds(): number | undefined {
    return this.mean === undefined
      ? undefined
      : this.mean + DEVIATIONS * this.deviation;
  }

  /** Records how long a request took. */
  record(milliseconds: number): void {
    if (this.mean === undefined) {
      this.mean = milliseconds;
      this.deviation = milliseconds / 2;
      return;
    }
    const difference = milliseconds - this.mean;
    this.mean += MEAN_WEIGHT * difference;
    this.deviation +=
      DEVIATION_WEIGHT * (Math.abs(difference) - this.deviation);
  }
}
