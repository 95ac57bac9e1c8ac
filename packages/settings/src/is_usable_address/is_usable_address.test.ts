/**
 * Tests the check of addresses: guards against one that makes a process throw
 * when it connects.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {isUsableAddress} from './is_usable_address.js';

describe('isUsableAddress', () => {
  it('accepts the first and the last port', () => {
    assert.equal(isUsableAddress({host: '10.0.0.1', port: 1}), true);
    assert.equal(isUsableAddress({host: '10.0.0.1', port: 65_535}), true);
  });

  for (const port of [0, -1, 65_536, 1.5, 1e20, Number.NaN, Infinity]) {
    it(`rejects port ${port}`, () => {
      assert.equal(isUsableAddress({host: '10.0.0.1', port}), false);
    });
  }

  for (const host of ['', 'localhost', '999.1.1.1', '1.2.3', '....', '::1']) {
    it(`rejects host '${host}'`, () => {
      assert.equal(isUsableAddress({host, port: 80}), false);
    });
  }
});
