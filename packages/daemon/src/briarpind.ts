#!/usr/bin/env node
/**
 * The daemon's command line.
 */
import {parseArgs} from 'node:util';

import {
  checkAddresses,
  formatSettingsError,
  readSettings,
  validateGatewaySettings,
  validateSidecarSettings,
  type SettingsError,
} from '@briarpin/settings';
import {Result} from 'true-myth';

import type {RoleSettings} from './wire.js';

const EXIT_WRONG_USE = 2;
const EXIT_FAILED = 1;
const USAGE = `Usage: briarpind gateway|sidecar --settings FILE
       briarpind gateway --on-machine

  gateway   serves callers
  sidecar   runs the work of the endpoint beside it

  --settings FILE   settings, JSON with comments; check them with
                    "briarpin check FILE"
  --on-machine      forward by the routes in the machine's store; the
                    platform of the machine writes the settings file
  --help            this text

SIGTERM and SIGINT start a graceful shutdown. SIGHUP reads the settings of a
machine again.
`;

await main();

async function main(): Promise<void> {
  if (process.argv.slice(2).join(' ') === 'gateway --on-machine') {
    const {runOnMachine} = await import('./machine/run_on_machine.js');
    await runOnMachine();
    return;
  }
  const settings = readCommandLine();
  if (settings === undefined) {
    return;
  }
  if (settings.isErr) {
    for (const error of settings.error) {
      process.stderr.write(`${formatSettingsError(error)}\n`);
    }
    process.exitCode = EXIT_WRONG_USE;
    return;
  }
  await run(settings.value);
}

function readCommandLine():
  Result<RoleSettings, readonly SettingsError[]> | undefined {
  try {
    const {values, positionals} = parseArgs({
      allowPositionals: true,
      options: {settings: {type: 'string'}, help: {type: 'boolean'}},
    });
    if (values.help) {
      process.stdout.write(USAGE);
      return undefined;
    }
    const [role, ...rest] = positionals;
    if (values.settings !== undefined && rest.length === 0) {
      return readRoleSettings(role ?? '', values.settings);
    }
  } catch (error) {
    process.stderr.write(`${(error as Error).message}\n`);
  }
  refuseUse();
  return undefined;
}

function readRoleSettings(
  role: string,
  file: string,
): Result<RoleSettings, readonly SettingsError[]> | undefined {
  switch (role) {
    case 'gateway':
      return readSettings(file, validateGatewaySettings).andThen(settings =>
        checkRole({role: 'gateway', settings}, file),
      );
    case 'sidecar':
      return readSettings(file, validateSidecarSettings).andThen(settings =>
        checkRole({role: 'sidecar', settings}, file),
      );
    default:
      refuseUse();
      return undefined;
  }
}

function checkRole(
  roleSettings: RoleSettings,
  file: string,
): Result<RoleSettings, readonly SettingsError[]> {
  const errors = checkAddresses(roleSettings.settings, file);
  return errors.length === 0 ? Result.ok(roleSettings) : Result.err(errors);
}

function refuseUse(): void {
  process.stderr.write(USAGE);
  process.exitCode = EXIT_WRONG_USE;
}

async function run(roleSettings: RoleSettings): Promise<void> {
  const exit = () => process.exit(0);
  try {
    const {startProcess} = await import('./wire.js');
    const running = await startProcess(roleSettings, exit);
    // Before the line that says so: whoever reads it may send a signal.
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.on(signal, () => {
        void running.shutDown(signal).then(exit);
      });
    }
    const {ports} = running.role;
    running.logger.info('started', {
      role: roleSettings.role,
      internal_port: ports.internal,
      callers_port: ports.callers,
      pid: process.pid,
    });
  } catch (error) {
    process.stderr.write(`${(error as Error).message}\n`);
    // What was started before the failure would keep the process alive.
    process.exit(EXIT_FAILED);
  }
}
