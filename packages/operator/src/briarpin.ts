#!/usr/bin/env node
/**
 * Entry point of the operator's command.
 */
import {parseArgs} from 'node:util';

import {runCheck} from './run_check/run_check.js';
import {EXIT_USAGE_ERROR, type CommandContext} from './command.js';
import {connect} from './connect/connect.js';
import {runEntries} from './run_entries/run_entries.js';
import {runDrain, runHistograms, runStatus} from './run_inspect/run_inspect.js';
import {runExplain} from './run_explain/run_explain.js';
import {USAGE, COMMAND_USAGE, EXPLAIN_USAGE} from './usage.js';

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
    const usage = command === 'explain' ? EXPLAIN_USAGE : undefined;
    process.stdout.write(usage ?? COMMAND_USAGE[command] ?? USAGE);
    return 0;
  }
  if (command === 'check') {
    return operands.length === 1
      ? runCheck(operands[0] ?? '')
      : reportUsageError(USAGE);
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
