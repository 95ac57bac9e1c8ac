/**
 * The command line's way to a gateway on a machine.
 */
import {readInstanceSettings} from '@briarpin/machines';

import {openLogStream} from '@briarpin/telemetry';

import {startMachineGateway, type RunningMachine} from './wire_machine.js';

const EXIT_WRONG_USE = 2;
const EXIT_FAILED = 1;
const STANDARD_OUTPUT = 1;

/** Reads the machine's settings, serves, and ends on SIGTERM. */
export async function runOnMachine(): Promise<void> {
  const settings = readInstanceSettings(process.env);
  if (settings.isErr) {
    const {file, message} = settings.error;
    process.stderr.write(`${file}: ${message}\n`);
    process.exitCode = EXIT_WRONG_USE;
    return;
  }
  try {
    const running = await startMachineGateway(
      settings.value,
      openLogStream(STANDARD_OUTPUT),
    );
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.on(signal, () => {
        void running.shutDown(signal).then(() => process.exit(0));
      });
    }
    process.on('SIGHUP', () => reload(running));
    running.logger.info('started', {role: 'gateway', pid: process.pid});
  } catch (error) {
    process.stderr.write(`${(error as Error).message}\n`);
    // What was started before the failure would keep the process alive.
    process.exit(EXIT_FAILED);
  }
}

/** Settings that cannot be read leave those in force that were read before. */
function reload(running: RunningMachine): void {
  readInstanceSettings(process.env).match({
    Ok: settings => running.reload(settings),
    Err: ({file, message}) =>
      running.logger.error('settings_broken', {file, message}),
  });
}
