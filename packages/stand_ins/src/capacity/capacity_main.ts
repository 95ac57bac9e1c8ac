/**
 * Recomputes the tables of docs/CAPACITY.md and exits with 1 if they differ;
 * with `--write`, updates the file instead.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';

import type {Slope} from '../slopes/measure.js';
import {computeCapacity, type CapacityRow} from './capacity_model.js';

const SLOPES_PATH = resolvePath('docs/slopes.json');
const DOCUMENT_PATH = resolvePath('docs/CAPACITY.md');
const START_MARKER = '<!-- computed by "npm run capacity": begin -->';
const END_MARKER = '<!-- computed by "npm run capacity": end -->';

const {values} = parseArgs({options: {write: {type: 'boolean'}}});
const slopes = JSON.parse(readFileSync(SLOPES_PATH, 'utf8')) as Slope[];
const tables = `${formatSlopes(slopes)}\n${formatCapacity(computeCapacity(slopes))}`;
const document = readFileSync(DOCUMENT_PATH, 'utf8');
const expected = replaceTables(document, tables);
if (values.write) {
  writeFileSync(DOCUMENT_PATH, expected);
} else if (document === expected) {
  process.stdout.write('docs/CAPACITY.md agrees with docs/slopes.json\n');
} else {
  process.stderr.write(
    'docs/CAPACITY.md differs from docs/slopes.json; ' +
      'run "npm run capacity -- --write" and read what changed\n',
  );
  process.exitCode = 1;
}

function resolvePath(path: string): string {
  return fileURLToPath(new URL(`../../../../${path}`, import.meta.url));
}

function replaceTables(text: string, content: string): string {
  const start = text.indexOf(START_MARKER);
  const end = text.indexOf(END_MARKER);
  if (start === -1 || end < start) {
    throw new Error('docs/CAPACITY.md has no markers around its tables');
  }
  return `${text.slice(0, start)}${START_MARKER}\n\n${content}\n${text.slice(end)}`;
}

function formatSlopes(all: readonly Slope[]): string {
  const rows = all.map(slope => {
    const {name, per, unit, points, intercept, residual} = slope;
    const range = `${round(points[0]?.size ?? 0)} to ${round(points.at(-1)?.size ?? 0)}`;
    const line = `${round(intercept)} + ${round(slope.slope)}`;
    return `| ${name} | ${unit} | ${per} | ${line} | ${range} | ${round(residual * 100)}% |`;
  });
  return [
    '| slope | unit | per | line | measured over | residual |',
    '| --- | --- | --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}

function formatCapacity(capacityRows: readonly CapacityRow[]): string {
  const rows = capacityRows.map(row => {
    const {role, quantity, derivation, value, unit, limit} = row;
    const comparison =
      limit === undefined
        ? ''
        : `${value <= limit ? 'within' : '**over**'} ${round(limit)}`;
    return `| ${role} | ${quantity} | ${derivation} | ${round(value)} ${unit} | ${comparison} |`;
  });
  return [
    '| role | what | how it comes about | figure | limit |',
    '| --- | --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}

function round(value: number): string {
  const short = Number(value.toPrecision(3));
  return short.toLocaleString('en-US', {maximumSignificantDigits: 3});
}
