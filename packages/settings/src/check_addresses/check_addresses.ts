/**
 * Validation of addresses beyond what a JSON Schema can express.
 */
import type {SettingsError} from '../parse_settings/parse_settings.js';
import {splitAddress} from '../split_address/split_address.js';

const LOOPBACK_HOST_PATTERN = /^(127\.\d+\.\d+\.\d+|localhost|::1|\[::1\])$/;

/** Settings that the validation of addresses reads. */
export interface AddressSettings {
  readonly internalAddress: string;
  readonly allowPlainNonLoopback?: boolean;
  readonly tls?: object;
}

/**
 * Checks that processes do not communicate unencrypted by accident.
 *
 * An address that is not loopback requires mutual TLS, or the setting that
 * explicitly allows an unencrypted one.
 *
 * @param settings - Settings of a gateway or a sidecar
 * @param file - File name for error messages
 * @returns All errors; empty when the address is allowed
 *
 * @example
 * checkAddresses({internalAddress: '10.0.0.1:1'}, 'gateway.jsonc').length; //=> 1
 */
export function checkAddresses(
  settings: AddressSettings,
  file: string,
): readonly SettingsError[] {
  const {host} = splitAddress(settings.internalAddress);
  const encrypted = settings.tls !== undefined;
  if (
    encrypted ||
    settings.allowPlainNonLoopback ||
    LOOPBACK_HOST_PATTERN.test(host)
  ) {
    return [];
  }
  const remedy =
    'add "tls", bind a loopback address, or set "allowPlainNonLoopback" to true';
  return [
    {
      kind: 'schema',
      file,
      line: 0,
      key: 'internalAddress',
      found: `the unencrypted address ${settings.internalAddress}`,
      remedy,
    },
  ];
}
