#!/usr/bin/env node
/**
 * Entry point of the operator's command.
 */
import {parseArgs} from 'node:util';

import {runCheck} from './run_check/run_check.js';
import {runCheckConfiguration} from './run_check_configuration/run_check_configuration.js';
import {EXIT_USAGE_ERROR, type CommandContext} from './command.js';
import {connect} from './connect/connect.js';
import {runEntries} from './run_entries/run_entries.js';
import {runDrain, runHistograms, runStatus} from './run_inspect/run_inspect.js';
import {runExplain} from './run_explain/run_explain.js';
import {CHECK_USAGE, USAGE, COMMAND_USAGE, EXPLAIN_USAGE} from './usage.js';

process.exitCode = await main(process.argv.slice(2));

async function main(commandLineArguments: string[]): Promise<number> {
  let parsed;
  try {
    parsed = parseArgs({
      args: commandLineArguments,
      allowPositionals: true,
      options: {
        settings: {type: 'string'},
        reason: {type: 'string'},
        base: {type: 'string'},
        configuration: {type: 'string'},
        against: {type: 'string'},
        json: {type: 'boolean'},
        help: {type: 'boolean'},
      },
    });
  } catch (error) {
    return reportUsageError(`${(error as Error).message}\n${USAGE}`);
  }
  const {values, positionals} = parsed;
  const [command = '', ...operands] = positionals;
  if (values.help) {
    process.stdout.write(findUsage(command));
    return 0;
  }
  if (command === 'check') {
    return check(operands, values);
  }
  if (values.configuration !== undefined || values.against !== undefined) {
    return reportUsageError(findUsage(command));
  }
  if (command === 'explain') {
    const [requestId, file, ...excess] = operands;
    return requestId === undefined || excess.length > 0
      ? reportUsageError(EXPLAIN_USAGE)
      : runExplain(requestId, file, values.json ?? false);
  }
  if (!(command in COMMAND_USAGE)) {
    return reportUsageError(USAGE);
  }
  const context = connect(values.settings, values);
  if (context.isErr) {
    return reportUsageError(`${context.error}\n`);
  }
  const status = await runCommand(command, operands, context.value);
  context.value.stop();
  return status === EXIT_USAGE_ERROR
    ? reportUsageError(COMMAND_USAGE[command] ?? USAGE)
    : status;
}

function findUsage(command: string): string {
  const usages: Readonly<Record<string, string>> = {
    ...COMMAND_USAGE,
    check: CHECK_USAGE,
    explain: EXPLAIN_USAGE,
  };
  return usages[command] ?? USAGE;
}

/** Options of `check`. */
interface CheckOptions {
  readonly configuration?: string;
  readonly against?: string;
  readonly json?: boolean;
}

function check(
  operands: readonly string[],
  {configuration, against, json = false}: CheckOptions,
): number {
  const [file, ...excess] = operands;
  if (configuration !== undefined && file === undefined) {
    const {env: environment} = process;
    return runCheckConfiguration(configuration, {against, json, environment});
  }
  return file === undefined ||
    excess.length > 0 ||
    configuration !== undefined ||
    against !== undefined
    ? reportUsageError(CHECK_USAGE)
    : runCheck(file);
}

function runCommand(
  command: string,
  operands: readonly string[],
  context: CommandContext,
): Promise<number> {
  switch (command) {
    case 'status':
      return runStatus(context);
    case 'histograms':
      return runHistograms(context);
    case 'drain':
      return runDrain(context, operands[0]);
    default:
      return runEntries(command, operands, context);
  }
}

function reportUsageError(text: string): number {
  process.stderr.write(text);
  return EXIT_USAGE_ERROR;
}
