/**
 * Tests how events are written to a caller that reads slowly.
 *
 * Guards against listeners that pile up on the response of a slow caller, one for
 * each pause, and against unsent bytes that stay counted.
 */
import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import {describe, it} from 'node:test';

import type {Exchange} from '../exchange/exchange.js';
import {MemoryBudget} from '../memory_budget/memory_budget.js';
import {StreamWriter} from '../stream_writer/stream_writer.js';

const EVENT = {bytes: Buffer.from('data: a\n\n'), eventCount: 1};

/** Response of a caller that has stopped reading. */
class FullResponse extends EventEmitter {
  readonly headersSent = true;
  destroyed = false;
  writableLength = 0;

  write(bytes: Buffer): boolean {
    this.writableLength += bytes.length;
    return false;
  }

  drain(): void {
    this.writableLength = 0;
    this.emit('drain');
  }
}

function createWriter() {
  const response = new FullResponse();
  const budget = new MemoryBudget(1_000);
  const exchange = {response, memory: budget.openAccount()};
  const writer = new StreamWriter(
    exchange as unknown as Exchange,
    {} as ConstructorParameters<typeof StreamWriter>[1],
  );
  return {response, budget, writer};
}

describe('StreamWriter', () => {
  it('counts unsent bytes until the caller has read them', async () => {
    const {response, budget, writer} = createWriter();
    const drained = writer.write(EVENT);
    assert.equal(budget.heldBytes, EVENT.bytes.length);
    response.drain();
    await drained;
    assert.equal(budget.heldBytes, 0);
  });

  it('resolves when the caller disconnects', async () => {
    const {response, writer} = createWriter();
    const drained = writer.write(EVENT);
    response.destroyed = true;
    response.emit('close');
    await drained;
    assert.equal(writer.write(EVENT), undefined);
  });

  it('leaves no listeners behind after each of many pauses', async () => {
    const {response, writer} = createWriter();
    for (let index = 0; index < 20; index += 1) {
      const drained = [writer.write(EVENT), writer.write(EVENT)];
      response.drain();
      await Promise.all(drained);
    }
    assert.equal(response.listenerCount('drain'), 0);
    assert.equal(response.listenerCount('close'), 0);
  });
});
