/**
 * Latency histograms for each organisation and request class.
 */
import type {HistogramSummary} from '@briarpin/messages';
import {build, type Histogram} from 'hdr-histogram-js';

const LARGEST_MILLISECONDS = 86_400_000;
const SIGNIFICANT_DIGITS = 2;
const OTHER_ORGANISATIONS = 'other';

/** Measured quantity, in milliseconds. */
export type Measure =
  | 'first_token_milliseconds'
  | 'between_tokens_milliseconds'
  | 'stall_milliseconds'
  | 'queue_wait_milliseconds'
  | 'end_to_end_milliseconds';

interface Series {
  readonly measure: Measure;
  readonly organisation: string;
  readonly requestClass: string;
  readonly histogram: Histogram;
}

/**
 * Bounded set of histograms.
 *
 * Organisations get separate histograms in the order of their first value. Once
 * the bound is reached, values without a histogram are aggregated under the
 * organisation `other`, still by measure and class. The bound limits memory
 * however many organisations there are.
 */
export class HistogramRegistry {
  private readonly series = new Map<string, Series>();

  /**
   * @param maximumSeries - Maximum number of histograms, not counting those of
   *     `other`
   */
  constructor(private readonly maximumSeries: number) {}

  /** Number of histograms. */
  get size(): number {
    return this.series.size;
  }

  /**
   * Records a value.
   *
   * @param measure - Measured quantity
   * @param organisation - Organisation of the request
   * @param requestClass - Class of the request
   * @param milliseconds - Value; clamped to the range of 0 to one day
   */
  record(
    measure: Measure,
    organisation: string,
    requestClass: string,
    milliseconds: number,
  ): void {
    const value = Math.min(LARGEST_MILLISECONDS, Math.max(0, milliseconds));
    const series = this.findOrCreate(measure, organisation, requestClass);
    series.histogram.recordValue(Math.round(value));
  }

  /** Summarises all histograms, sorted by measure, organisation and class. */
  summarise(): readonly HistogramSummary[] {
    const summaries = [...this.series.values()].map(toSummary);
    return summaries.sort((left, right) =>
      toSortKey(left) < toSortKey(right) ? -1 : 1,
    );
  }

  private findOrCreate(
    measure: Measure,
    organisation: string,
    requestClass: string,
  ): Series {
    const existing = this.series.get(
      toKey(measure, organisation, requestClass),
    );
    if (existing !== undefined) {
      return existing;
    }
    const isFull = this.series.size >= this.maximumSeries;
    const name = isFull ? OTHER_ORGANISATIONS : organisation;
    const key = toKey(measure, name, requestClass);
    const series = this.series.get(key) ?? {
      measure,
      organisation: name,
      requestClass,
      histogram: createHistogram(),
    };
    this.series.set(key, series);
    return series;
  }
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2_000,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

function toSummary(series: Series): HistogramSummary {
  const {measure, organisation, requestClass, histogram} = series;
  return {
    measure,
    organisation,
    requestClass,
    count: histogram.totalCount,
    mean: histogram.mean,
    p50: histogram.getValueAtPercentile(50),
    p95: histogram.getValueAtPercentile(95),
    p99: histogram.getValueAtPercentile(99),
    maximum: histogram.maxValue,
  };
}

function toKey(
  measure: string,
  organisation: string,
  requestClass: string,
): string {
  return `${measure}\n${organisation}\n${requestClass}`;
}

function toSortKey(summary: HistogramSummary): string {
  return toKey(summary.measure, summary.organisation, summary.requestClass);
}
