/**
 * Commands that show and change the configuration.
 */
import {
  BUILT_IN_POLICY,
  publishChange,
  type ConfigurationReplica,
} from '@briarpin/coordination';
import {
  describeViolations,
  validateConfigurationException,
  validateConfigurationOrganisation,
  validateConfigurationService,
  validatePolicy,
  type SchemaValidator,
} from '@briarpin/messages';
import {Result} from 'true-myth';

import {
  EXIT_SUCCESS,
  EXIT_FAILURE,
  EXIT_USAGE_ERROR,
  print,
  printError,
  type CommandContext,
} from '../command.js';

const READINESS_POLL_MILLISECONDS = 20;

/** Change of one key of the configuration. */
interface Change {
  readonly key: string;
  /** New value; null removes the key. */
  readonly value: unknown;
}

/**
 * Runs `defaults`, `exceptions`, `organisations` or `services`.
 *
 * @param command - Name of the command
 * @param operands - Arguments after the command name
 * @param context - Context of the command
 * @returns Exit status
 */
export async function runEntries(
  command: string,
  operands: readonly string[],
  context: CommandContext,
): Promise<number> {
  if (!(await waitUntilReady(context))) {
    printError('the log has not answered in time; try again when it does');
    return EXIT_FAILURE;
  }
  const [action = ''] = operands;
  if (action === 'show' || action === 'list') {
    showEntries(command, context);
    return EXIT_SUCCESS;
  }
  const change = parseChange(command, operands, context);
  if (change === undefined) {
    return EXIT_USAGE_ERROR;
  }
  if (change.isErr) {
    printError(change.error);
    return EXIT_FAILURE;
  }
  return submitChange(change.value, context);
}

async function waitUntilReady(context: CommandContext): Promise<boolean> {
  const {clock, replica} = context;
  const deadline = clock.now() + context.timeoutMilliseconds;
  // The replica of an empty stream is not ready, but the stream accepts its
  // first change.
  while (!replica.isReady && !isStreamEmpty(replica)) {
    if (clock.now() >= deadline) {
      return false;
    }
    await clock.sleep(READINESS_POLL_MILLISECONDS);
  }
  return true;
}

function isStreamEmpty(replica: ConfigurationReplica): boolean {
  return replica.hasReadToEnd && replica.table.size === 0;
}

function showEntries(command: string, context: CommandContext): void {
  const {table} = context.replica;
  const entries = table.list(`${command}.`).map(entry => ({
    name: entry.key.slice(command.length + 1),
    value: JSON.parse(entry.valueJson) as unknown,
    offset: entry.offset,
  }));
  if (context.json) {
    print(JSON.stringify(entries));
    return;
  }
  for (const {name, value, offset} of entries) {
    print(`${name} = ${JSON.stringify(value)} (offset ${offset})`);
  }
  if (command === 'defaults') {
    const overriddenNames = new Set(entries.map(({name}) => name));
    for (const [name, value] of Object.entries(BUILT_IN_POLICY)) {
      if (!overriddenNames.has(name)) {
        print(`${name} = ${JSON.stringify(value)} (built in)`);
      }
    }
  }
}

function parseChange(
  command: string,
  operands: readonly string[],
  context: CommandContext,
): Result<Change, string> | undefined {
  const [action, name, ...values] = operands;
  if (name === undefined || name === '') {
    return undefined;
  }
  const key = `${command}.${name}`;
  if (action === 'remove' && values.length === 0) {
    return Result.ok({key, value: null});
  }
  if (command === 'exceptions' && action === 'add' && values.length === 2) {
    const [match = '', set = ''] = values.map(parseValue);
    const value = {match, set, reason: context.reason};
    return validateChange(value, validateConfigurationException, key, value);
  }
  if (action !== 'set' || values.length !== 1) {
    return undefined;
  }
  const value = parseValue(values[0] ?? '');
  switch (command) {
    case 'defaults':
      return validateChange({[name]: value}, validatePolicy, key, value);
    case 'organisations':
      return validateChange(
        value,
        validateConfigurationOrganisation,
        key,
        value,
      );
    case 'services':
      return validateChange(value, validateConfigurationService, key, value);
    default:
      return undefined;
  }
}

function validateChange<T>(
  candidate: unknown,
  validate: SchemaValidator<T>,
  key: string,
  value: unknown,
): Result<Change, string> {
  if (validate(candidate)) {
    return Result.ok({key, value});
  }
  const lines = describeViolations(validate.errors ?? []).map(violation => {
    const {key: path, found, remedy} = violation;
    return `${key}: ${path}: found ${found}; ${remedy}`;
  });
  return Result.err(lines.join('\n'));
}

async function submitChange(
  {key, value}: Change,
  context: CommandContext,
): Promise<number> {
  const {log, clock, replica, baseOffset} = context;
  const result = await publishChange(key, value, {
    log,
    clock,
    replica,
    random: Math.random,
    deadline: clock.now() + context.timeoutMilliseconds,
    baseOffset,
  });
  if (result.isErr) {
    printError(result.error.message);
    return EXIT_FAILURE;
  }
  const offset = result.value;
  print(
    context.json
      ? JSON.stringify({accepted: true, key, offset})
      : `accepted: ${key} at offset ${offset}`,
  );
  return EXIT_SUCCESS;
}

function parseValue(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
