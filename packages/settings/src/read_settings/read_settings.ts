/**
 * Reader of settings files.
 */
import {readFileSync} from 'node:fs';

import type {SchemaValidator} from '@briarpin/messages';
import {Result} from 'true-myth';

import {
  parseSettings,
  type SettingsError,
} from '../parse_settings/parse_settings.js';

/**
 * Reads, parses and validates a settings file.
 *
 * The file is read once; a change to it requires a restart of the process.
 *
 * @param file - Path of the file, in JSONC (JSON with comments) and UTF-8
 * @param validate - Validator of the settings
 * @returns The settings, or all errors in the file
 *
 * @example
 * readSettings('gateway.jsonc', validateGatewaySettings);
 */
export function readSettings<T>(
  file: string,
  validate: SchemaValidator<T>,
): Result<T, readonly SettingsError[]> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const found = error instanceof Error ? error.message : String(error);
    const remedy = 'name a settings file that this process may read';
    return Result.err([{kind: 'file', file, line: 0, key: '', found, remedy}]);
  }
  return parseSettings(text, {file, validate});
}
