/**
 * `briarpin check FILE`: validates a settings file.
 */
import {
  checkAddresses,
  formatSettingsError,
  readSettings,
  validateGatewaySettings,
  validateOperatorSettings,
  validateSidecarSettings,
  type SettingsError,
} from '@briarpin/settings';

import {EXIT_SUCCESS, EXIT_FAILURE, print, printError} from '../command.js';

/**
 * Validates a settings file of any role and prints its errors.
 *
 * The role follows from the keys: `listenAddress` selects a gateway,
 * `endpointUrl` or `instance` selects a sidecar, and a file with none of them
 * contains settings of the operator's command.
 *
 * @param file - Path of the settings file
 * @returns Exit status
 */
export function runCheck(file: string): number {
  const errors = findErrors(file);
  if (errors.length === 0) {
    print(`${file}: no faults found`);
    return EXIT_SUCCESS;
  }
  errors.forEach(error => printError(formatSettingsError(error)));
  return EXIT_FAILURE;
}

function findErrors(file: string): readonly SettingsError[] {
  const acceptAll = Object.assign(
    (_data: unknown): _data is Record<string, unknown> => true,
    {errors: null},
  );
  const settings = readSettings(file, acceptAll);
  if (settings.isErr) {
    return settings.error;
  }
  if ('listenAddress' in settings.value) {
    return readSettings(file, validateGatewaySettings).match({
      Ok: valid => checkAddresses(valid, file),
      Err: errors => errors,
    });
  }
  if ('endpointUrl' in settings.value || 'instance' in settings.value) {
    return readSettings(file, validateSidecarSettings).match({
      Ok: valid => checkAddresses(valid, file),
      Err: errors => errors,
    });
  }
  return readSettings(file, validateOperatorSettings).match({
    Ok: () => [],
    Err: errors => errors,
  });
}
