#!/usr/bin/env node
/**
 * Command line of the daemon.
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

const EXIT_USAGE_ERROR = 2;
const EXIT_FAILURE = 1;
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
    process.exitCode = EXIT_USAGE_ERROR;
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
  reportUsageError();
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
      reportUsageError();
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

function reportUsageError(): void {
  process.stderr.write(USAGE);
  process.exitCode = EXIT_USAGE_ERROR;
}

async function run(roleSettings: RoleSettings): Promise<void> {
  const exit = () => process.exit(0);
  try {
    const {startProcess} = await import('./wire.js');
    const running = await startProcess(roleSettings, exit);
    // The handlers are installed before the log line, because its reader may
    // send a signal immediately.
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.on(signal, () => {
        void running.shutDownInTime(signal).then(exit);
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
    // Without an explicit exit, servers and tasks that were started before
    // the failure would keep the process running.
    process.exit(EXIT_FAILURE);
  }
}
