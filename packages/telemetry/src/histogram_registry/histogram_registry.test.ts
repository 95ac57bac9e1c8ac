/**
 * Tests of histograms for each organisation and class.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {HistogramRegistry} from './histogram_registry.js';

describe('HistogramRegistry', () => {
  it('keeps organisations and classes apart', () => {
    const registry = new HistogramRegistry(10);
    registry.record('stall_milliseconds', 'one', 'urgent', 10);
    registry.record('stall_milliseconds', 'one', 'standard', 20);
    registry.record('stall_milliseconds', 'two', 'urgent', 30);
    const maxima = registry.summarise().map(summary => summary.maximum);
    assert.deepEqual(maxima, [20, 10, 30]);
  });

  it('counts those past its bound together, by class', () => {
    const registry = new HistogramRegistry(2);
    for (let index = 0; index < 8_900; index += 1) {
      const name = `organisation-${index}`;
      registry.record('stall_milliseconds', name, 'urgent', index);
    }
    assert.equal(registry.size, 3);
    const other = registry
      .summarise()
      .find(({organisation}) => organisation === 'other');
    assert.equal(other?.count, 8_898);
  });

  it('takes values of any size', () => {
    const registry = new HistogramRegistry(2);
    registry.record('stall_milliseconds', 'one', 'urgent', -5);
    registry.record('stall_milliseconds', 'one', 'urgent', 1e15);
    assert.equal(registry.summarise()[0]?.count, 2);
  });
});
