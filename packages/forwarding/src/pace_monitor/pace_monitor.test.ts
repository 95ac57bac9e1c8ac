/**
 * Tests when a change of pace is logged: guards against a line for each sample,
 * and against state of endpoints that have left.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {PaceMonitor} from './pace_monitor.js';

function createMonitor() {
  const lines: string[] = [];
  const monitor = new PaceMonitor({
    info: (event, fields) =>
      lines.push(`${event} ${String(fields?.['class'])}`),
  });
  const record = (ratio: number, samples = 5, reports = 0) =>
    monitor.record(
      {id: 'a', concurrencyLimit: 24},
      {milliseconds: ratio * 40, ratio, samples, reports, ageMilliseconds: 10},
    );
  return {monitor, lines, record};
}

describe('PaceMonitor', () => {
  it('logs an endpoint once per change of its class', () => {
    const {lines, record} = createMonitor();
    record(1, 0);
    [0.7, 0.72, 0.7, 1, 1.5, 1.6].forEach(ratio => record(ratio));
    assert.deepEqual(lines, [
      'endpoint_pace new',
      'endpoint_pace fast',
      'endpoint_pace usual',
      'endpoint_pace slow',
    ]);
  });

  it('does not log an estimate that varies around a bound', () => {
    const {lines, record} = createMonitor();
    [1.31, 1.29, 1.31, 1.25].forEach(ratio => record(ratio));
    assert.deepEqual(lines, ['endpoint_pace slow']);
  });

  it('classifies an endpoint that only other gateways know', () => {
    const {lines, record} = createMonitor();
    record(1.7, 0, 3);
    assert.deepEqual(lines, ['endpoint_pace slow']);
  });

  it('lists the endpoints until they leave', () => {
    const {monitor, record} = createMonitor();
    record(1);
    assert.deepEqual(
      monitor.list().map(({endpoint}) => endpoint),
      ['a'],
    );
    monitor.remove('a');
    assert.equal(monitor.list().length, 0);
  });
});
