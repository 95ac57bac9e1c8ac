#!/usr/bin/env node
/**
 * The operator's command line.
 */
import {parseArgs} from 'node:util';

import {runCheck} from './run_check/run_check.js';
import {EXIT_WRONG_USE, type CommandContext} from './command.js';
import {connect} from './connect/connect.js';
import {runEntries} from './run_entries/run_entries.js';
import {runDrain, runHistograms, runStatus} from './run_inspect/run_inspect.js';
import {runExplain} from './run_explain/run_explain.js';
import {USAGE, USAGE_OF_COMMAND, USAGE_OF_EXPLAIN} from './usage.js';

process.exitCode = await main(process.argv.slice(2));

async function main(argumentsGiven: string[]): Promise<number> {
  let parsed;
  try {
    parsed = parseArgs({
      args: argumentsGiven,
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
    return refuse(`${(error as Error).message}\n${USAGE}`);
  }
  const {values, positionals} = parsed;
  const [command = '', ...rest] = positionals;
  if (values.help) {
    const usage = command === 'explain' ? USAGE_OF_EXPLAIN : undefined;
    process.stdout.write(usage ?? USAGE_OF_COMMAND[command] ?? USAGE);
    return 0;
  }
  if (command === 'check') {
    return rest.length === 1 ? runCheck(rest[0] ?? '') : refuse(USAGE);
  }
  if (command === 'explain') {
    const [requestId, file, ...more] = rest;
    return requestId === undefined || more.length > 0
      ? refuse(USAGE_OF_EXPLAIN)
      : runExplain(requestId, file, values.json ?? false);
  }
  if (!(command in USAGE_OF_COMMAND)) {
    return refuse(USAGE);
  }
  const context = connect(values.settings, values);
  if (context.isErr) {
    return refuse(`${context.error}\n`);
  }
  const status = await run(command, rest, context.value);
  context.value.end();
  return status === EXIT_WRONG_USE
    ? refuse(USAGE_OF_COMMAND[command] ?? USAGE)
    : status;
}

function run(
  command: string,
  rest: readonly string[],
  context: CommandContext,
): Promise<number> {
  switch (command) {
    case 'status':
      return runStatus(context);
    case 'histograms':
      return runHistograms(context);
    case 'drain':
      return runDrain(context, rest[0]);
    default:
      return runEntries(command, rest, context);
  }
}

function refuse(text: string): number {
  process.stderr.write(text);
  return EXIT_WRONG_USE;
}
