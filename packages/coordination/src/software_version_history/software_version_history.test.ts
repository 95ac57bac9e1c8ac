/**
 * Tests the history of software versions: guards against taking the only version
 * of today for the only one of the time in which a stream began.
 */
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {SoftwareVersionHistory} from './software_version_history.js';

describe('SoftwareVersionHistory', () => {
  let now: number;
  let history: SoftwareVersionHistory;

  beforeEach(() => {
    now = 0;
    history = new SoftwareVersionHistory(() => now);
  });

  it('finds the only version of a service', () => {
    history.recordRead();
    now = 5_000;
    history.recordRead();
    history.record('text', 'v1');
    history.record('desk', 'v7');
    assert.equal(history.findOnly('text', 5_000), 'v1');
  });

  it('finds none before it reaches back far enough', () => {
    history.record('text', 'v1');
    assert.equal(history.findOnly('text', 0), undefined);
    history.recordRead();
    now = 4_999;
    assert.equal(history.findOnly('text', 5_000), undefined);
    history.record('text', 'v1');
    assert.equal(history.findOnly('text', 200_000), undefined);
  });

  it('finds none while another version was seen lately', () => {
    history.recordRead();
    history.record('text', 'v1');
    now = 6_000;
    history.record('text', 'v1.1');
    assert.equal(history.findOnly('text', 6_000), undefined);
    now = 7_000;
    assert.equal(history.findOnly('text', 6_000), 'v1.1');
  });

  it('forgets what is too old', () => {
    history.recordRead();
    history.record('text', 'v1');
    while (now < 200_000) {
      now += 5_000;
      history.recordRead();
    }
    history.forgetOld();
    history.record('text', 'v1.1');
    assert.equal(history.findOnly('text', 100_000), 'v1.1');
  });

  // Guards against a version that came and went in records that a process has
  // never read, since it was out of step.
  it('starts anew after a snapshot', () => {
    history.recordRead();
    history.record('text', 'v1');
    now = 5_000;
    history.recordSnapshot();
    history.record('text', 'v1');
    assert.equal(history.findOnly('text', 5_000), undefined);
    now = 10_000;
    history.recordRead();
    history.record('text', 'v1');
    assert.equal(history.findOnly('text', 5_000), 'v1');
  });

  it('starts anew after a time without reads', () => {
    history.recordRead();
    now = 20_000;
    history.record('text', 'v1');
    assert.equal(history.findOnly('text', 5_000), undefined);
    history.recordRead();
    assert.equal(history.findOnly('text', 5_000), undefined);
    now = 25_000;
    history.record('text', 'v1');
    assert.equal(history.findOnly('text', 5_000), 'v1');
  });
});
