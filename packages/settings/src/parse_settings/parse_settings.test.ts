/**
 * Tests of parsing and validating settings.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {validateOperatorSettings} from '../generated/operator_settings.js';
import {validateGatewaySettings} from '../generated/gateway_settings.js';
import {checkAddresses} from '../check_addresses/check_addresses.js';
import {formatSettingsError} from '../format_settings_error/format_settings_error.js';
import {parseSettings, type SettingsError} from './parse_settings.js';

function findErrors(text: string): readonly SettingsError[] {
  const file = 'operator.jsonc';
  const validate = validateOperatorSettings;
  return parseSettings(text, {file, validate}).match({
    Ok: () => [],
    Err: errors => errors,
  });
}

describe('parseSettings', () => {
  it('accepts comments and a trailing comma', () => {
    const text = '// where\n{"platformUrl": "http://127.0.0.1:1", /* x */}';
    assert.deepEqual(findErrors(text), []);
  });

  it('formats an error as file, line, key, invalid value and remedy', () => {
    const text = '{\n  "platformUrl": 7\n}';
    const [error] = findErrors(text);
    assert.ok(error !== undefined);
    assert.equal(
      formatSettingsError(error),
      'operator.jsonc:2: platformUrl: found 7; must be string',
    );
  });

  it('reports all errors at once, including unknown keys', () => {
    const text = '{\n  "platformURL": "http://a"\n}';
    const keys = findErrors(text).map(({key}) => key);
    assert.deepEqual(keys.sort(), ['platformURL', 'platformUrl']);
  });

  it('reports the line of a syntax error', () => {
    const [error] = findErrors('{\n"a": ,\n}');
    assert.equal(error?.kind, 'syntax');
    assert.equal(error?.line, 2);
  });

  it('reports an empty file as a syntax error', () => {
    assert.equal(findErrors('')[0]?.kind, 'syntax');
  });
});

describe('checkAddresses', () => {
  it('rejects an unencrypted address that is not loopback', () => {
    const errors = checkAddresses({internalAddress: '10.0.0.1:1'}, 'f');
    assert.match(errors[0]?.remedy ?? '', /add "tls"/);
  });

  it('accepts a loopback address, TLS, or the explicit permission', () => {
    const nonLoopback = {internalAddress: '10.0.0.1:1'};
    assert.deepEqual(checkAddresses({internalAddress: '127.0.0.1:1'}, 'f'), []);
    assert.deepEqual(checkAddresses({...nonLoopback, tls: {}}, 'f'), []);
    const allowed = {...nonLoopback, allowPlainNonLoopback: true};
    assert.deepEqual(checkAddresses(allowed, 'f'), []);
  });
});

describe('schema of the gateway settings', () => {
  it('rejects numbers out of range', () => {
    const isValid = validateGatewaySettings({maximumBodyBytes: 0});
    assert.equal(isValid, false);
  });
});
