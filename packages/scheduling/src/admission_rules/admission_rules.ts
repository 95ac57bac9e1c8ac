/**
 * Rules that decide whether one more generation may start on an engine.
 */
import {URGENT_MARGIN_SHARE, URGENT_RESERVE_SHARE} from '../constants.js';
import type {
  PeakPredictor,
  PredictedGeneration,
} from '../peak_predictor/peak_predictor.js';
import type {RequestClassName} from '../request/request.js';

/** State of the engine on which an admission rule decides. */
export interface EngineView {
  /** Tokens that fit in memory. */
  readonly capacityTokens: number;
  /** Tokens that running generations hold now. */
  readonly usedTokens: number;
  readonly runningCount: number;
  /** Tokens that the running generations hold at their maximum length. */
  readonly reservedTokens: number;
  /** Predictor to which every running generation has been added. */
  readonly predictor: PeakPredictor;
  /** Margin, in standard deviations of the predicted peak. */
  readonly marginDeviations: number;
}

/** A generation that waits for admission. */
export interface AdmissionCandidate extends PredictedGeneration {
  readonly id: string;
  readonly schedulingClass: RequestClassName;
}

/** Returns whether a generation may start. */
export type AdmissionRule = (
  candidate: AdmissionCandidate,
  view: EngineView,
) => boolean;

/**
 * Admits a generation if the predicted peak fits into memory.
 *
 * Urgent work may use a part of the margin, and other work leaves a small share
 * of the memory in reserve for it. If memory then runs out, the engine suspends
 * the least urgent generation.
 *
 * @param candidate - The generation
 * @param view - The engine
 * @returns True when it may start
 */
export const admitPredictedPeak: AdmissionRule = (candidate, view) => {
  const {capacityTokens, marginDeviations} = view;
  const isUrgent = candidate.schedulingClass === 'urgent';
  const deviations = marginDeviations * (isUrgent ? URGENT_MARGIN_SHARE : 1);
  const reserve = isUrgent ? 0 : URGENT_RESERVE_SHARE;
  const peak = view.predictor.predict({deviations, capacityTokens}, candidate);
  return peak <= capacityTokens * (1 - reserve);
};

/**
 * Admits a generation if its prompt fits into the memory that is free now.
 *
 * @param candidate - The generation
 * @param view - The engine
 * @returns True when it may start
 */
export const admitOnCurrentUse: AdmissionRule = (candidate, view) =>
  view.usedTokens + candidate.promptTokens + 1 <= view.capacityTokens;

/**
 * Creates a rule that admits up to a fixed number of generations.
 *
 * @param concurrency - Maximum number of running generations
 * @returns The rule
 */
export function createFixedConcurrencyRule(concurrency: number): AdmissionRule {
  return (_candidate, view) => view.runningCount < concurrency;
}

/**
 * Creates a rule that reserves memory for the maximum length of each
 * generation.
 *
 * @param defaultMaximumTokens - Maximum length when the caller set none
 * @returns The rule
 */
export function createReserveMaximumRule(
  defaultMaximumTokens: number,
): AdmissionRule {
  return (candidate, view) => {
    const maximum = candidate.maximumTokens ?? defaultMaximumTokens;
    const needed = candidate.promptTokens + maximum;
    return view.reservedTokens + needed <= view.capacityTokens;
  };
}
