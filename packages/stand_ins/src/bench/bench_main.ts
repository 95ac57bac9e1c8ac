/**
 * Runs the policy benchmarks in virtual time. Exits with 1 when a target is
 * missed.
 */
import {parseArgs} from 'node:util';

import {
  EVALUATION_SEEDS,
  runAdmissionBenchmark,
  TUNING_SEEDS,
} from './admission_benchmark.js';
import {runEvacuationBenchmark} from './evacuation_benchmark.js';
import {TargetChecker} from './target_checker.js';
import {runOrderBenchmark} from './order_benchmark.js';
import {runRoutingBenchmark} from './routing_benchmark.js';

const {values} = parseArgs({
  options: {
    tuning: {type: 'boolean'},
    mix: {type: 'string'},
    only: {type: 'string'},
  },
});
const checker = new TargetChecker();
const seeds = values.tuning ? TUNING_SEEDS : EVALUATION_SEEDS;
const isSelected = (name: string) =>
  values.only === undefined || values.only === name;
if (isSelected('admission')) {
  runAdmissionBenchmark(checker, seeds, values.mix);
}
if (isSelected('order')) {
  runOrderBenchmark(checker, seeds);
}
if (isSelected('routing')) {
  runRoutingBenchmark(checker, seeds);
}
if (isSelected('evacuation')) {
  await runEvacuationBenchmark(checker, seeds);
}
checker.printSummary();
process.exitCode = checker.hasPassed ? 0 : 1;
