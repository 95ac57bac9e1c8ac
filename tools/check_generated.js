/**
 * Regenerates the code and exits with 1 if it differs from the committed code.
 */
import {execFileSync} from 'node:child_process';

execFileSync('npm', ['run', 'generate'], {stdio: 'inherit'});
const changed = execFileSync(
  'git',
  [
    'status',
    '--porcelain',
    '--',
    ':(glob)packages/*/src/generated/**',
    'platform/src/generated',
  ],
  {encoding: 'utf8'},
);
if (changed !== '') {
  console.error(`Generated code is out of date:\n${changed}`);
  console.error('Run "npm run generate" and commit the result.');
  process.exitCode = 1;
}
