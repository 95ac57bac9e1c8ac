/**
 * Measures the slopes on this machine and prints them, without comparing them
 * with any target.
 */
import {setFlagsFromString} from 'node:v8';
import {parseArgs} from 'node:util';
import {runInNewContext} from 'node:vm';

import {measureDecisions} from './decision_slopes.js';
import type {Slope} from './measure.js';
import {measureProcesses} from './process_slopes.js';

const {values} = parseArgs({
  options: {json: {type: 'boolean'}, decisions: {type: 'boolean'}},
});
// Enables the garbage collection that precedes each memory measurement.
setFlagsFromString('--expose-gc');
globalThis.gc = runInNewContext('gc') as NodeJS.GCFunction;
const slopes: Slope[] = [...measureDecisions()];
if (!values.decisions) {
  slopes.push(...(await measureProcesses()));
}
if (values.json) {
  process.stdout.write(`${JSON.stringify(slopes, undefined, 2)}\n`);
} else {
  slopes.forEach(printSlope);
}

function printSlope(slope: Slope): void {
  const {name, per, unit, points, intercept, residual} = slope;
  const measured = points
    .map(({size, cost}) => `${round(size)}: ${round(cost)}`)
    .join(', ');
  process.stdout.write(
    `${name}: ${round(intercept)} + ${round(slope.slope)} ${unit} ` +
      `per ${per} (residual ${round(residual * 100)}%; ${measured})\n`,
  );
}

function round(value: number): number {
  return Number(value.toPrecision(3));
}
