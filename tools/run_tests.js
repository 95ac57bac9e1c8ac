/**
 * Runs the compiled tests of the workspace with the Node.js test runner.
 *
 * With arguments, runs only the files whose path contains one of them. Exits
 * with 1 if no file matches.
 */
import {spawnSync} from 'node:child_process';
import {readdirSync} from 'node:fs';
import {join} from 'node:path';

const CONCURRENT_FILES = 4;

const filters = process.argv.slice(2);
const folders = readdirSync('packages').map(name => join('packages', name));
const files = [...folders, 'platform', 'platform/stand_ins']
  .flatMap(folder => listTests(join(folder, 'dist')))
  .filter(
    file =>
      filters.length === 0 || filters.some(filter => file.includes(filter)),
  )
  .sort();
if (files.length === 0) {
  console.error('No test file matches the arguments.');
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
