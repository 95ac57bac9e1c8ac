/**
 * Length distributions for each organisation, class and model.
 */
import {
  DEFAULT_EXPECTED_TOKENS,
  LENGTH_MAXIMUM_SERIES,
  LENGTH_MINIMUM_OBSERVATIONS,
} from '../constants.js';
import {LengthDistribution} from '../length_distribution/length_distribution.js';
import type {GenerationRequest} from '../request/request.js';

/** The kind of a generation. */
export type LengthSubject = Pick<
  GenerationRequest,
  'organisation' | 'requestClass' | 'model'
>;

/**
 * Learns lengths from the narrowest kind to the widest.
 *
 * The narrowest distribution with enough observations answers; the rest fall
 * back to the class, then to the model, then to the prior. The narrowest ones
 * are bounded in number: the one unused for longest is forgotten.
 */
export class LengthModel {
  private readonly narrow = new Map<string, LengthDistribution>();
  private readonly byClass = new Map<string, LengthDistribution>();
  private readonly all = new LengthDistribution();
  private readonly byModel = new Map<string, LengthDistribution>();

  /** Distributions of single organisations that are kept. */
  get seriesCount(): number {
    return this.narrow.size;
  }

  /** Mean length over all kinds, in tokens. */
  get meanOfAll(): number {
    return this.all.meanOr(DEFAULT_EXPECTED_TOKENS);
  }

  /** Lengths observed so far. */
  get observations(): number {
    return this.all.observations;
  }

  /**
   * Learns from a finished generation.
   *
   * @param subject - Its kind
   * @param tokens - Its length
   * @param notedTokens - Tokens of it that {@link notePassed} was told of
   */
  observe(subject: LengthSubject, tokens: number, notedTokens = 0): void {
    for (const distribution of this.distributionsOf(subject)) {
      distribution.observe(tokens, notedTokens);
    }
  }

  /**
   * Finds the distribution to predict with.
   *
   * @param subject - Kind of the generation
   * @returns The narrowest one with enough observations
   */
  find(subject: LengthSubject): LengthDistribution {
    const candidates = [
      this.narrow.get(narrowKey(subject)),
      this.byClass.get(classKey(subject)),
    ];
    const enough = candidates.find(
      candidate =>
        candidate !== undefined &&
        candidate.observations >= LENGTH_MINIMUM_OBSERVATIONS,
    );
    return enough ?? findOrCreate(this.byModel, subject.model);
  }

  /**
   * Learns from the progress of a generation that runs.
   *
   * @param subject - Its kind
   * @param fromTokens - Tokens at the last call for it; 0 at the first
   * @param toTokens - Tokens now
   */
  notePassed(
    subject: LengthSubject,
    fromTokens: number,
    toTokens: number,
  ): void {
    for (const distribution of this.distributionsOf(subject)) {
      distribution.notePassed(fromTokens, toTokens);
    }
  }

  private distributionsOf(subject: LengthSubject): LengthDistribution[] {
    return [
      this.touchNarrow(subject),
      findOrCreate(this.byClass, classKey(subject)),
      findOrCreate(this.byModel, subject.model),
      this.all,
    ];
  }

  private touchNarrow(subject: LengthSubject): LengthDistribution {
    const key = narrowKey(subject);
    const distribution = this.narrow.get(key) ?? new LengthDistribution();
    this.narrow.delete(key);
    this.narrow.set(key, distribution);
    if (this.narrow.size > LENGTH_MAXIMUM_SERIES) {
      const [oldest] = this.narrow.keys();
      this.narrow.delete(oldest as string);
    }
    return distribution;
  }
}

function narrowKey(subject: LengthSubject): string {
  return `${subject.model}\n${subject.requestClass}\n${subject.organisation}`;
}

function classKey(subject: LengthSubject): string {
  return `${subject.model}\n${subject.requestClass}`;
}

function findOrCreate(
  distributions: Map<string, LengthDistribution>,
  key: string,
): LengthDistribution {
  const known = distributions.get(key);
  if (known !== undefined) {
    return known;
  }
  const created = new LengthDistribution();
  distributions.set(key, created);
  return created;
}
