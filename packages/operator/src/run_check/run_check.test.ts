/**
 * Tests of the command line: `check` accepts the example settings and reports
 * every error, and the exit status and usage text match the command.
 */
import assert from 'node:assert/strict';
import {execFileSync, spawnSync} from 'node:child_process';
import {mkdtempSync, readdirSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';

const COMMAND = fileURLToPath(new URL('../briarpin.js', import.meta.url));
const EXAMPLES = fileURLToPath(
  new URL('../../../../examples', import.meta.url),
);

describe('briarpin check', () => {
  for (const example of readdirSync(EXAMPLES)) {
    it(`accepts examples/${example}`, () => {
      const file = join(EXAMPLES, example);
      const output = execFileSync(process.execPath, [COMMAND, 'check', file]);
      assert.match(output.toString(), /no faults found/);
    });
  }

  it('exits with 1 and prints a line per error for invalid settings', () => {
    const folder = mkdtempSync(join(tmpdir(), 'briarpin-check-'));
    const file = join(folder, 'gateway.jsonc');
    writeFileSync(file, '{"listenAddress": "nowhere", "extra": 1}');
    const {status, stderr} = spawnSync(process.execPath, [
      COMMAND,
      'check',
      file,
    ]);
    rmSync(folder, {recursive: true});
    assert.equal(status, 1);
    assert.match(stderr.toString(), /extra: found an unknown key/);
    assert.match(stderr.toString(), /listenAddress: found "nowhere"/);
  });

  it('exits with 2 when the arguments are invalid', () => {
    const invalidCommandLines = [
      [],
      ['nonsense'],
      ['check'],
      ['--what'],
      ['defaults'],
    ];
    for (const operands of invalidCommandLines) {
      const {status} = spawnSync(process.execPath, [COMMAND, ...operands]);
      assert.equal(status, 2, operands.join(' '));
    }
  });

  it('prints the usage of a command for --help', () => {
    for (const command of ['defaults', 'exceptions', 'status', 'drain']) {
      const commandLine = [COMMAND, command, '--help'];
      const {status, stdout} = spawnSync(process.execPath, commandLine);
      assert.equal(status, 0);
      assert.match(stdout.toString(), new RegExp(`Usage: briarpin ${command}`));
    }
  });
});
