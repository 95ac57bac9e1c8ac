/**
 * How many generations survive engines that leave in waves.
 */
import type {
  EvacuationFigures,
  EvacuationPolicy,
  EvacuationScene,
} from './evacuation_scene.js';
import {format, print, type Judge} from './judge.js';
import {simulateEvacuation} from './simulate_evacuation.js';

const POLICIES: readonly EvacuationPolicy[] = [
  'stay',
  'at_once',
  'in_turn',
  'oracle',
];

const HALF_FULL: EvacuationScene = {
  engines: 24,
  availabilityZones: 6,
  gateways: 12,
  leavingShare: 1 / 6,
  noticeMilliseconds: 1_500,
  memoryShare: 0.5,
  linkMegabitsPerSecond: 47_000,
};

const CROWDED: EvacuationScene = {
  ...HALF_FULL,
  leavingShare: 0.3,
  memoryShare: 0.8,
};

/** Targets of the issue on streams that survive. */
const HALF_FULL_WHOLE_TARGET = 0.97;
const HALF_FULL_SMOOTH_TARGET = 0.93;
const CROWDED_ORACLE_TARGET = 0.85;

/** Runs all policies on both scenes and judges ours. */
export async function runEvacuationBenchmark(
  judge: Judge,
  seeds: readonly number[],
): Promise<void> {
  for (const seed of seeds) {
    const half = await playScene('half_full', HALF_FULL, seed);
    judge.atLeast(
      `evacuation half_full seed=${seed} whole`,
      half.ours.wholeShare,
      HALF_FULL_WHOLE_TARGET,
    );
    judge.atLeast(
      `evacuation half_full seed=${seed} smooth`,
      half.ours.smoothShare,
      HALF_FULL_SMOOTH_TARGET,
    );
    const crowded = await playScene('crowded', CROWDED, seed);
    const stay = crowded.stay.wholeShare;
    judge.atLeast(
      `evacuation crowded seed=${seed} saved against oracle`,
      (crowded.ours.wholeShare - stay) / (crowded.oracle.wholeShare - stay),
      CROWDED_ORACLE_TARGET,
    );
  }
}

async function playScene(name: string, scene: EvacuationScene, seed: number) {
  print(`\nevacuation ${name} seed=${seed}`);
  const figures = new Map<EvacuationPolicy, EvacuationFigures>();
  for (const policy of POLICIES) {
    const played = await simulateEvacuation(scene, policy, seed);
    figures.set(policy, played);
    print(
      `  ${policy.padEnd(18)} generations=${played.generations} ` +
        `refused=${played.refused} ` +
        `whole=${format(played.wholeShare)} smooth=${format(played.smoothShare)}`,
    );
  }
  const find = (policy: EvacuationPolicy) =>
    figures.get(policy) as EvacuationFigures;
  return {ours: find('in_turn'), stay: find('stay'), oracle: find('oracle')};
}
