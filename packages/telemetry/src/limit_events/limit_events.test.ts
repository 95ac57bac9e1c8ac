/**
 * Tests that requests are sampled when the log exceeds its line budget, and that
 * a stopped reader of the log neither blocks the process nor grows its memory.
 */
import assert from 'node:assert/strict';
import {Writable} from 'node:stream';
import {describe, it} from 'node:test';

import type {EventLogger} from '../create_logger/create_logger.js';
import {DroppingStream} from '../open_log_stream/open_log_stream.js';
import {limitEvents} from './limit_events.js';

function createFixture(linesPerSecond: number) {
  const time = {now: 0};
  const lines: string[] = [];
  const collect =
    (level: string): EventLogger['info'] =>
    (event, fields = {}) =>
      lines.push([level, event, ...Object.values(fields)].join(' '));
  const logger = limitEvents(
    {
      error: collect('error'),
      warn: collect('warn'),
      info: collect('info'),
      debug: collect('debug'),
    },
    {linesPerSecond, now: () => time.now},
  );
  return {logger, lines, time};
}

describe('limitEvents', () => {
  it('writes all lines within the budget', () => {
    const {logger, lines} = createFixture(10);
    for (let index = 0; index < 10; index += 1) {
      logger.info('request', {request: `r-${index}`});
    }
    assert.equal(lines.length, 10);
  });

  it('samples requests with all their lines beyond the budget', () => {
    const {logger, lines} = createFixture(1);
    logger.info('started');
    for (let index = 0; index < 1_000; index += 1) {
      logger.info('sent', {request: `r-${index}`});
      logger.info('request', {request: `r-${index}`});
    }
    const kept = lines.slice(1).map(line => line.split(' ')[2]);
    assert.ok(kept.length > 60 && kept.length < 240, `${kept.length}`);
    for (const request of new Set(kept)) {
      assert.equal(kept.filter(other => other === request).length, 2);
    }
  });

  it('writes warnings and lines without a request beyond the budget', () => {
    const {logger, lines} = createFixture(0);
    logger.warn('request', {request: 'r-1'});
    logger.info('endpoint_leaving', {endpoint: 'e-1'});
    assert.deepEqual(lines, ['warn request r-1', 'info endpoint_leaving e-1']);
  });

  it('reports the number of omitted lines', () => {
    const {logger, lines, time} = createFixture(0);
    for (let index = 0; index < 100; index += 1) {
      logger.info('request', {request: `r-${index}`});
    }
    const kept = lines.length;
    time.now = 1_000;
    logger.info('configuration');
    assert.equal(lines[kept], `warn log_reduced ${100 - kept} 0`);
  });
});

describe('DroppingStream', () => {
  it('drops lines and bounds its buffer when its reader stops', () => {
    const stopped = new Writable({write: () => undefined});
    const stream = new DroppingStream(stopped);
    const line = 'x'.repeat(1_000);
    for (let index = 0; index < 2_000; index += 1) {
      assert.equal(stream.write(line), true);
    }
    assert.ok(stopped.writableLength < 300_000);
    assert.ok(stream.consumeDroppedCount() > 1_700);
    assert.equal(stream.consumeDroppedCount(), 0);
  });
});
