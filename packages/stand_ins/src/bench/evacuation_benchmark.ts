/**
 * Benchmark of the share of generations that complete while engines terminate
 * in waves.
 */
import type {
  EvacuationMetrics,
  EvacuationPolicy,
  EvacuationScenario,
} from './evacuation_scenario.js';
import {formatNumber, printLine, type TargetChecker} from './target_checker.js';
import {simulateEvacuation} from './simulate_evacuation.js';

const POLICIES: readonly EvacuationPolicy[] = [
  'stay',
  'at_once',
  'in_turn',
  'oracle',
];

const HALF_FULL: EvacuationScenario = {
  engines: 24,
  availabilityZones: 6,
  gateways: 12,
  terminatingShare: 1 / 6,
  noticeMilliseconds: 1_500,
  memoryShare: 0.5,
  linkMegabitsPerSecond: 47_000,
};

const CROWDED: EvacuationScenario = {
  ...HALF_FULL,
  terminatingShare: 0.3,
  memoryShare: 0.8,
};

/** Minimum shares of streams that complete, or complete without a stall. */
const HALF_FULL_COMPLETED_TARGET = 0.97;
const HALF_FULL_STALL_FREE_TARGET = 0.93;
const CROWDED_ORACLE_SHARE_TARGET = 0.85;

/**
 * Runs all policies in both scenarios and checks the targets of the sequential
 * evacuation (`in_turn`).
 *
 * @param checker - Receives the metrics with their targets
 * @param seeds - Seeds to run
 */
export async function runEvacuationBenchmark(
  checker: TargetChecker,
  seeds: readonly number[],
): Promise<void> {
  for (const seed of seeds) {
    const halfFull = await runScenario('half_full', HALF_FULL, seed);
    checker.checkAtLeast(
      `evacuation half_full seed=${seed} whole`,
      halfFull.inTurn.completedShare,
      HALF_FULL_COMPLETED_TARGET,
    );
    checker.checkAtLeast(
      `evacuation half_full seed=${seed} smooth`,
      halfFull.inTurn.stallFreeShare,
      HALF_FULL_STALL_FREE_TARGET,
    );
    const crowded = await runScenario('crowded', CROWDED, seed);
    const stay = crowded.stay.completedShare;
    checker.checkAtLeast(
      `evacuation crowded seed=${seed} saved against oracle`,
      (crowded.inTurn.completedShare - stay) /
        (crowded.oracle.completedShare - stay),
      CROWDED_ORACLE_SHARE_TARGET,
    );
  }
}

async function runScenario(
  name: string,
  scenario: EvacuationScenario,
  seed: number,
) {
  printLine(`\nevacuation ${name} seed=${seed}`);
  const metricsByPolicy = new Map<EvacuationPolicy, EvacuationMetrics>();
  for (const policy of POLICIES) {
    const metrics = await simulateEvacuation(scenario, policy, seed);
    metricsByPolicy.set(policy, metrics);
    printLine(
      `  ${policy.padEnd(18)} generations=${metrics.generations} ` +
        `refused=${metrics.refused} ` +
        `whole=${formatNumber(metrics.completedShare)} smooth=${formatNumber(metrics.stallFreeShare)}`,
    );
  }
  const find = (policy: EvacuationPolicy) =>
    metricsByPolicy.get(policy) as EvacuationMetrics;
  return {inTurn: find('in_turn'), stay: find('stay'), oracle: find('oracle')};
}
