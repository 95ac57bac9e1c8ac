/**
 * Runs a gateway on a machine from the command line.
 */
import {readInstanceSettings} from '@briarpin/machines';

import {openLogStream} from '@briarpin/telemetry';

import {startMachineGateway, type RunningMachine} from './wire_machine.js';

const EXIT_USAGE_ERROR = 2;
const EXIT_FAILURE = 1;
const STANDARD_OUTPUT = 1;

/**
 * Starts a gateway with the settings of the machine. SIGTERM and SIGINT drain
 * it and end the process; SIGHUP reads the settings again.
 */
export async function runOnMachine(): Promise<void> {
  const settings = readInstanceSettings(process.env);
  if (settings.isErr) {
    const {file, message} = settings.error;
    process.stderr.write(`${file}: ${message}\n`);
    process.exitCode = EXIT_USAGE_ERROR;
    return;
  }
  const starting = startMachineGateway(
    settings.value,
    openLogStream(STANDARD_OUTPUT),
  );
  // A signal may come as soon as the gateway listens, before it has started.
  handleSignals(starting);
  try {
    const running = await starting;
    running.logger.info('started', {role: 'gateway', pid: process.pid});
  } catch (error) {
    process.stderr.write(`${(error as Error).message}\n`);
    // Without an explicit exit, servers and tasks that were started before
    // the failure would keep the process running.
    process.exit(EXIT_FAILURE);
  }
}

/** Installs handlers that act on signals once the gateway has started. */
function handleSignals(starting: Promise<RunningMachine>): void {
  const whenStarted = (act: (running: RunningMachine) => void) => {
    // The caller reports a start that fails.
    starting.then(act, () => undefined);
  };
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () =>
      whenStarted(running => {
        void running.shutDown(signal).then(() => process.exit(0));
      }),
    );
  }
  process.on('SIGHUP', () => whenStarted(reload));
}

/** Reads the settings again; a failed read leaves the current ones in force. */
function reload(running: RunningMachine): void {
  readInstanceSettings(process.env).match({
    Ok: settings => running.reload(settings),
    Err: ({file, message}) =>
      running.logger.error('settings_broken', {file, message}),
  });
}
