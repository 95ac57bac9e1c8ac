/**
 * Tests that the number of histograms is bounded however many organisations
 * there are, and that no recorded value is lost.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {HistogramRegistry} from './histogram_registry.js';

describe('HistogramRegistry', () => {
  it('records organisations and classes in separate histograms', () => {
    const registry = new HistogramRegistry(10);
    registry.record('stall_milliseconds', 'one', 'urgent', 10);
    registry.record('stall_milliseconds', 'one', 'standard', 20);
    registry.record('stall_milliseconds', 'two', 'urgent', 30);
    const maxima = registry.summarise().map(summary => summary.maximum);
    assert.deepEqual(maxima, [20, 10, 30]);
  });

  it('aggregates organisations beyond the bound under other, by class', () => {
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

  it('accepts negative and very large values', () => {
    const registry = new HistogramRegistry(2);
    registry.record('stall_milliseconds', 'one', 'urgent', -5);
    registry.record('stall_milliseconds', 'one', 'urgent', 1e15);
    assert.equal(registry.summarise()[0]?.count, 2);
  });
});
