/**
 * Context of the commands that need the platform.
 */
import {readFileSync} from 'node:fs';

import {ConfigurationReplica, SYSTEM_CLOCK} from '@briarpin/coordination';
import {HttpLog} from '@briarpin/platform';
import {
  formatSettingsError,
  readSettings,
  validateOperatorSettings,
  type OperatorSettings,
} from '@briarpin/settings';
import {ChannelCredentials} from '@grpc/grpc-js';
import {Result} from 'true-myth';

import type {CommandContext} from '../command.js';

const DEFAULT_TIMEOUT_MILLISECONDS = 10_000;
const LONG_POLL_MILLISECONDS = 500;

/** Command line options that all commands accept. */
export interface CommonOptions {
  readonly json?: boolean;
  readonly reason?: string;
  readonly base?: string;
}

/**
 * Reads the settings and starts a replica of the configuration.
 *
 * @param file - Path of the settings file; `BRIARPIN_SETTINGS` when absent
 * @param options - Command line options
 * @returns Context of the command, or a message about the invalid settings or
 *     options
 */
export function connect(
  file: string | undefined,
  options: CommonOptions,
): Result<CommandContext, string> {
  const path = file ?? process.env['BRIARPIN_SETTINGS'];
  if (path === undefined) {
    return Result.err('name a settings file with --settings');
  }
  const baseOffset =
    options.base === undefined ? undefined : Number(options.base);
  if (baseOffset !== undefined && !Number.isInteger(baseOffset)) {
    return Result.err('--base requires an offset, a whole number');
  }
  return readSettings(path, validateOperatorSettings)
    .map(settings => createContext(settings, options, baseOffset))
    .mapErr(errors => errors.map(formatSettingsError).join('\n'));
}

function createContext(
  settings: OperatorSettings,
  options: CommonOptions,
  baseOffset: number | undefined,
): CommandContext {
  const abortController = new AbortController();
  const log = new HttpLog(settings.platformUrl);
  const replica = new ConfigurationReplica({
    log,
    clock: SYSTEM_CLOCK,
    random: Math.random,
    longPollMilliseconds: LONG_POLL_MILLISECONDS,
    // The last rank: this replica always polls the log itself and never writes
    // a restatement.
    pollerRank: () => Number.MAX_SAFE_INTEGER,
  });
  void replica.run(abortController.signal);
  return {
    log,
    clock: SYSTEM_CLOCK,
    replica,
    platformUrl: settings.platformUrl,
    credentials: createCredentials(settings),
    timeoutMilliseconds:
      settings.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS,
    json: options.json ?? false,
    reason: options.reason,
    baseOffset,
    stop: () => abortController.abort(),
  };
}

function createCredentials({tls}: OperatorSettings): ChannelCredentials {
  return tls === undefined
    ? ChannelCredentials.createInsecure()
    : ChannelCredentials.createSsl(
        readFileSync(tls.certificateAuthorityFile),
        readFileSync(tls.keyFile),
        readFileSync(tls.certificateFile),
      );
}
