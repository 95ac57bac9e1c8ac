/**
 * Formatting of settings errors.
 */
import type {SettingsError} from '../parse_settings/parse_settings.js';

/**
 * Formats a settings error as one line of text.
 *
 * @param error - Error to format
 * @returns `file:line: key: found ...; remedy`
 *
 * @example
 * formatSettingsError(error);
 * //=> 'gateway.jsonc:3: region: found 7; must be string'
 */
export function formatSettingsError(error: SettingsError): string {
  const place = `${error.file}:${error.line}`;
  const key = error.key === '' ? '' : ` ${error.key}:`;
  return `${place}:${key} found ${error.found}; ${error.remedy}`;
}
