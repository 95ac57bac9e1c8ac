/**
 * Runs every compiled test of the workspace with Node's test runner.
 *
 * Arguments narrow the files to those whose path contains one of them.
 */
import {spawnSync} from 'node:child_process';
import {readdirSync} from 'node:fs';
import {join} from 'node:path';

const CONCURRENT_FILES = 4;

const words = process.argv.slice(2);
const folders = readdirSync('packages').map(name => join('packages', name));
const files = [...folders, 'platform', 'platform/stand_ins']
  .flatMap(folder => listTests(join(folder, 'dist')))
  .filter(file => words.length === 0 || words.some(word => file.includes(word)))
  .sort();
if (files.length === 0) {
  console.error('There is no test file that matches.');
  process.exit(1);
}
const {status} = spawnSync(
  process.execPath,
  [
    '--test',
    `--test-concurrency=${CONCURRENT_FILES}`,
    '--test-reporter=spec',
    ...files,
  ],
  {stdio: 'inherit'},
);
process.exitCode = status ?? 1;

function listTests(folder) {
  return readdirSync(folder, {recursive: true})
    .filter(file => file.endsWith('.test.js'))
    .map(file => join(folder, file));
}
