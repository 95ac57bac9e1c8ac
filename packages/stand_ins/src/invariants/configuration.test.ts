/**
 * An accepted configuration change applies in every process within 3 s and is
 * never reverted.
 *
 * Guards against lost updates of concurrent operators, and against a process
 * that starts during a platform outage or after the log was trimmed and stays
 * without the configuration.
 */
import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {writeFileSync, mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';

import {Fleet} from '../fleet/fleet.js';
import {createTestPlan, LOCATION} from './test_plan.js';

const OPERATOR_SCRIPT = fileURLToPath(
  new URL('../../../operator/dist/briarpin.js', import.meta.url),
);
const APPLY_TIMEOUT_MILLISECONDS = 3_000;

interface CommandResult {
  readonly status: number;
  readonly output: string;
  readonly errors: string;
}

describe('configuration', () => {
  let fleet: Fleet;
  let folder: string;
  let settingsFile: string;

  before(async () => {
    fleet = await Fleet.start(createTestPlan({gateways: 3, engines: 4}));
    folder = mkdtempSync(join(tmpdir(), 'briarpin-operator-'));
    settingsFile = join(folder, 'operator.jsonc');
    const settings = {platformUrl: fleet.platformAddress};
    writeFileSync(settingsFile, JSON.stringify(settings));
  });

  after(async () => {
    await fleet.stop();
    rmSync(folder, {recursive: true, force: true});
  });

  function runOperator(...parameters: string[]): Promise<CommandResult> {
    const commandLine = [
      OPERATOR_SCRIPT,
      ...parameters,
      '--settings',
      settingsFile,
    ];
    return new Promise(resolve => {
      execFile(process.execPath, commandLine, (error, output, errors) => {
        const status = typeof error?.code === 'number' ? error.code : 0;
        resolve({status, output, errors});
      });
    });
  }

  function daemons() {
    return [
      ...[...fleet.gateways.values()].map(gateway => gateway.process),
      ...fleet.sidecars.values(),
    ];
  }

  it('applies a change in every process within 3 s', async () => {
    const offset = fleet.configure('defaults.weight', 3);
    const changedAt = Date.now();
    await Promise.all(
      daemons().map(daemon =>
        daemon.waitFor(
          'configuration',
          fields => Number(fields['version']) >= offset,
        ),
      ),
    );
    const elapsed = Date.now() - changedAt;
    assert.ok(elapsed <= APPLY_TIMEOUT_MILLISECONDS, `took ${elapsed} ms`);
  });

  it('accepts one of several concurrent changes and reports a conflict for the others', async () => {
    const listing = await runOperator('defaults', 'show', '--json');
    const entries = JSON.parse(listing.output) as {
      name: string;
      offset: number;
    }[];
    const weight = entries.find(({name}) => name === 'weight');
    const base = String(weight?.offset);
    const results = await Promise.all(
      ['4', '5', '6'].map(value =>
        runOperator('defaults', 'set', 'weight', value, '--base', base),
      ),
    );
    const accepted = results.filter(({status}) => status === 0);
    const rejected = results.filter(({status}) => status === 1);
    assert.equal(accepted.length, 1);
    assert.equal(rejected.length, 2);
    for (const {errors} of rejected) {
      assert.match(errors, /changed at offset \d+ by somebody else/);
    }
  });

  it('rejects an invalid value and an exception without a reason', async () => {
    const invalid = await runOperator('defaults', 'set', 'weight', '0');
    assert.equal(invalid.status, 1);
    assert.match(invalid.errors, /weight: found 0; must be >= 0.01/);
    const withoutReason = await runOperator(
      'exceptions',
      'add',
      'x',
      '{}',
      '{"weight":2}',
    );
    assert.equal(withoutReason.status, 1);
    assert.match(withoutReason.errors, /reason/);
  });

  it('reaches a gateway that starts during an outage once it has peers', async () => {
    fleet.platform.setFault({kind: 'outage', on: true});
    const starting = fleet.startGateway('gateway-8', LOCATION);
    const gateway = await starting;
    // Without the membership list the gateway has no peers, so it is not ready.
    const duringOutage = await fetch(`${gateway.url}/readyz`);
    assert.equal(duringOutage.status, 503);
    fleet.platform.setFault({kind: 'outage', on: false});
    await gateway.process.waitFor('configuration');
    const afterOutage = await fetch(`${gateway.url}/readyz`);
    assert.equal(afterOutage.status, 200);
  });

  it('reaches a gateway that starts after the log was trimmed', async () => {
    const records = fleet.platform.records('configuration');
    const before = (records.at(-1)?.offset ?? 0) + 1;
    fleet.platform.setFault({kind: 'trim', stream: 'configuration', before});
    const gateway = await fleet.startGateway('gateway-7', LOCATION);
    const fields = await gateway.process.waitFor('configuration');
    assert.equal(Number(fields['version']), before - 1);
  });

  it('never decreases the configuration version in any process', () => {
    for (const daemon of daemons()) {
      const versions = daemon.log
        .filter(fields => fields['event'] === 'configuration')
        .map(fields => Number(fields['version']));
      const sorted = [...versions].sort((left, right) => left - right);
      assert.deepEqual(versions, sorted);
    }
  });
});
