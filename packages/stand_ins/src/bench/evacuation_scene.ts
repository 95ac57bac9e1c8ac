/**
 * What the evacuation benchmark plays, and what comes out of it.
 */

/** What is played. */
export interface EvacuationScene {
  readonly engines: number;
  readonly availabilityZones: number;
  readonly gateways: number;
  /** Part of the engines that leaves in each wave. */
  readonly leavingShare: number;
  readonly noticeMilliseconds: number;
  /** Part of all memory that running generations take on average. */
  readonly memoryShare: number;
  readonly linkMegabitsPerSecond: number;
}

/** What is done when an engine leaves. */
export type EvacuationPolicy =
  /** The gateways move their runs in turn. */
  | 'in_turn'
  /** They move them without waiting for one another. */
  | 'at_once'
  /** Runs end with their engine. */
  | 'stay'
  /** Runs are placed by one who knows all leavings ahead. */
  | 'oracle';

/** What became of the generations. */
export interface EvacuationFigures {
  readonly generations: number;
  /** Those that no engine had room for when they came. */
  readonly refused: number;
  /** Part that was finished. */
  readonly wholeShare: number;
  /** Part that was finished without a pause above the target. */
  readonly smoothShare: number;
}

export const PLAYED_MILLISECONDS = 30_000;
export const WAVE_INTERVAL_MILLISECONDS = 3_300;
export const FIRST_WAVE_MILLISECONDS = 5_000;
/** Time from an engine's end until another one takes its place. */
export const REPLACEMENT_MILLISECONDS = 4_000;
export const MEMORY_TOKENS = 27_000;
export const PROMPT_TOKENS = 3_000;
export const MEDIAN_OUTPUT_TOKENS = 700;
export const OUTPUT_SIGMA = 0.35;
export const ESTIMATE_SIGMA = 0.3;
export const MILLISECONDS_PER_TOKEN = 10;
export const PREFILL_MILLISECONDS = 300;
export const HOP_MILLISECONDS = 12;
export const TARGET_GAP_MILLISECONDS = 180;
export const TOKENS_PER_EVENT = 4;
export const SLOTS = 24;
export const SERVICE = 'text';
/** Another availability zone of the region is twice as far for a copy. */
export const OTHER_ZONE_FACTOR = 2;
export const ZONES_PER_REGION = 2;
