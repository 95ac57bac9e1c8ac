/**
 * Length distributions per organisation, request class and model.
 */
import {
  DEFAULT_EXPECTED_TOKENS,
  LENGTH_MAXIMUM_SERIES,
  LENGTH_MINIMUM_OBSERVATIONS,
} from '../constants.js';
import {LengthDistribution} from '../length_distribution/length_distribution.js';
import type {GenerationRequest} from '../request/request.js';

/** Properties of a generation that select its length distributions. */
export type LengthSeriesKey = Pick<
  GenerationRequest,
  'organisation' | 'requestClass' | 'model'
>;

/**
 * Length distributions at several levels of detail.
 *
 * A prediction uses the most specific distribution with enough observations:
 * that of the organisation, else that of the request class, else that of the
 * model, which falls back to the prior. The number of distributions per
 * organisation is bounded; the least recently updated one is evicted.
 */
export class LengthModel {
  private readonly byOrganisation = new Map<string, LengthDistribution>();
  private readonly byClass = new Map<string, LengthDistribution>();
  private readonly overall = new LengthDistribution();
  private readonly byModel = new Map<string, LengthDistribution>();

  /** Number of stored distributions of single organisations. */
  get seriesCount(): number {
    return this.byOrganisation.size;
  }

  /** Mean length over all generations, in tokens. */
  get overallMean(): number {
    return this.overall.computeMean(DEFAULT_EXPECTED_TOKENS);
  }

  /** Number of lengths observed so far. */
  get observations(): number {
    return this.overall.observations;
  }

  /**
   * Records a finished generation.
   *
   * @param seriesKey - Its properties
   * @param tokens - Its length
   * @param recordedTokens - Progress already recorded for it by
   *     {@link recordProgress}, in tokens
   */
  observe(
    seriesKey: LengthSeriesKey,
    tokens: number,
    recordedTokens = 0,
  ): void {
    for (const distribution of this.findOrCreateDistributions(seriesKey)) {
      distribution.observe(tokens, recordedTokens);
    }
  }

  /**
   * Finds the distribution that predicts the length of a generation.
   *
   * @param seriesKey - Properties of the generation
   * @returns The most specific distribution with enough observations
   */
  find(seriesKey: LengthSeriesKey): LengthDistribution {
    const candidates = [
      this.byOrganisation.get(organisationKey(seriesKey)),
      this.byClass.get(classKey(seriesKey)),
    ];
    const sufficient = candidates.find(
      candidate =>
        candidate !== undefined &&
        candidate.observations >= LENGTH_MINIMUM_OBSERVATIONS,
    );
    return sufficient ?? findOrCreate(this.byModel, seriesKey.model);
  }

  /**
   * Records the progress of a running generation.
   *
   * @param seriesKey - Its properties
   * @param fromTokens - Tokens at the previous call for it; 0 at the first
   * @param toTokens - Current tokens
   */
  recordProgress(
    seriesKey: LengthSeriesKey,
    fromTokens: number,
    toTokens: number,
  ): void {
    for (const distribution of this.findOrCreateDistributions(seriesKey)) {
      distribution.recordProgress(fromTokens, toTokens);
    }
  }

  private findOrCreateDistributions(
    seriesKey: LengthSeriesKey,
  ): LengthDistribution[] {
    return [
      this.touchOrganisationDistribution(seriesKey),
      findOrCreate(this.byClass, classKey(seriesKey)),
      findOrCreate(this.byModel, seriesKey.model),
      this.overall,
    ];
  }

  private touchOrganisationDistribution(
    seriesKey: LengthSeriesKey,
  ): LengthDistribution {
    const key = organisationKey(seriesKey);
    const distribution =
      this.byOrganisation.get(key) ?? new LengthDistribution();
    this.byOrganisation.delete(key);
    this.byOrganisation.set(key, distribution);
    if (this.byOrganisation.size > LENGTH_MAXIMUM_SERIES) {
      const [oldest] = this.byOrganisation.keys();
      this.byOrganisation.delete(oldest as string);
    }
    return distribution;
  }
}

function organisationKey(seriesKey: LengthSeriesKey): string {
  return `${seriesKey.model}\n${seriesKey.requestClass}\n${seriesKey.organisation}`;
}

function classKey(seriesKey: LengthSeriesKey): string {
  return `${seriesKey.model}\n${seriesKey.requestClass}`;
}

function findOrCreate(
  distributions: Map<string, LengthDistribution>,
  key: string,
): LengthDistribution {
  const existing = distributions.get(key);
  if (existing !== undefined) {
    return existing;
  }
  const created = new LengthDistribution();
  distributions.set(key, created);
  return created;
}
