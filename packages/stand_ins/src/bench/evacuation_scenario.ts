/**
 * Parameters and results of the evacuation benchmark.
 */

/** Parameters of one simulation. */
export interface EvacuationScenario {
  readonly engines: number;
  readonly availabilityZones: number;
  readonly gateways: number;
  /** Share of the engines that terminate in each wave. */
  readonly terminatingShare: number;
  readonly noticeMilliseconds: number;
  /** Average share of the total memory used by running generations. */
  readonly memoryShare: number;
  readonly linkMegabitsPerSecond: number;
}

/** How the runs of a terminating engine are handled. */
export type EvacuationPolicy =
  /** The gateways move their runs one gateway at a time. */
  | 'in_turn'
  /** The gateways move their runs concurrently. */
  | 'at_once'
  /** Runs are not moved and fail with their engine. */
  | 'stay'
  /** Runs are placed with all termination times known in advance. */
  | 'oracle';

/** Results of one simulation. */
export interface EvacuationMetrics {
  readonly generations: number;
  /** Generations for which no engine had enough memory on arrival. */
  readonly refused: number;
  /** Share of the generations that completed. */
  readonly completedShare: number;
  /** Share that completed without a gap above the target. */
  readonly stallFreeShare: number;
}

export const SIMULATED_MILLISECONDS = 30_000;
export const WAVE_INTERVAL_MILLISECONDS = 3_300;
export const FIRST_WAVE_MILLISECONDS = 5_000;
/** Time from the termination of an engine until its replacement is ready. */
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
/**
 * Factor by which a copy to another availability zone of the region takes
 * longer than a copy within a zone.
 */
export const OTHER_ZONE_FACTOR = 2;
export const ZONES_PER_REGION = 2;
