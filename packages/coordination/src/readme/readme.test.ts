/**
 * Runs the example of the README as written. Guards against an example that no
 * longer matches the public API.
 */
import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';

const FOLDER = fileURLToPath(new URL('../..', import.meta.url));
const EXAMPLE = /```ts\n([\s\S]*?)```/;

describe('README of the coordination package', () => {
  it('contains an example that prints the documented output', () => {
    const text = readFileSync(`${FOLDER}/README.md`, 'utf8');
    const example = EXAMPLE.exec(text)?.[1] ?? '';
    const output = execFileSync(
      process.execPath,
      ['--input-type=module', '--eval', example],
      {cwd: FOLDER, encoding: 'utf8'},
    );
    assert.equal(output, 'true indigo\nwon\nlost\n');
  });
});
