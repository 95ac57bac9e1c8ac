/**
 * Policy benchmarks in virtual time.
 */
import {parseArgs} from 'node:util';

import {
  JUDGING_SEEDS,
  runAdmissionBenchmark,
  TUNING_SEEDS,
} from './admission_benchmark.js';
import {runEvacuationBenchmark} from './evacuation_benchmark.js';
import {Judge} from './judge.js';
import {runOrderBenchmark} from './order_benchmark.js';
import {runRoutingBenchmark} from './routing_benchmark.js';

const {values} = parseArgs({
  options: {
    tuning: {type: 'boolean'},
    mix: {type: 'string'},
    only: {type: 'string'},
  },
});
const judge = new Judge();
const seeds = values.tuning ? TUNING_SEEDS : JUDGING_SEEDS;
const isWanted = (name: string) =>
  values.only === undefined || values.only === name;
if (isWanted('admission')) {
  runAdmissionBenchmark(judge, seeds, values.mix);
}
if (isWanted('order')) {
  runOrderBenchmark(judge, seeds);
}
if (isWanted('routing')) {
  runRoutingBenchmark(judge, seeds);
}
if (isWanted('evacuation')) {
  await runEvacuationBenchmark(judge, seeds);
}
judge.summarise();
process.exitCode = judge.isSatisfied ? 0 : 1;
