/**
 * Tests which responses can have a body.
 *
 * Guards against a response whose caller waits for bytes that never come.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {canHaveBody} from './can_have_body.js';

describe('canHaveBody', () => {
  it('is false for 204, 304 and any response to HEAD', () => {
    assert.equal(canHaveBody('GET', 204), false);
    assert.equal(canHaveBody('GET', 304), false);
    assert.equal(canHaveBody('HEAD', 200), false);
    assert.equal(canHaveBody('HEAD', 500), false);
  });

  it('is true for other responses', () => {
    assert.equal(canHaveBody('GET', 200), true);
    assert.equal(canHaveBody('POST', 205), true);
    assert.equal(canHaveBody(undefined, undefined), true);
  });
});
