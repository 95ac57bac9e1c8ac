/**
 * Tests the pauses of an endpoint's stream, and the failure to forward its events.
 *
 * Guards against a wait for memory of this gateway that counts as the time
 * between two events of the engine, and against a stream that stays paused.
 */
import assert from 'node:assert/strict';
import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {describe, it} from 'node:test';

import type {EndpointEntry} from '@briarpin/coordination';

import {MemoryBudget} from '../memory_budget/memory_budget.js';
import {EndpointStream} from './endpoint_stream.js';

const BUDGET_BYTES = 2_000_000;
const PART_OF_EVENT = Buffer.alloc(100_000, 'x');

const settle = () => new Promise(resolve => setImmediate(resolve));

function createStream(onEvents: () => Promise<void> | undefined) {
  const source = new PassThrough({highWaterMark: BUDGET_BYTES});
  const headers = {'content-type': 'text/event-stream'};
  const budget = new MemoryBudget(BUDGET_BYTES);
  const counts = {pauses: 0};
  const stream = new EndpointStream({
    endpoint: {id: 'a'} as EndpointEntry,
    response: Object.assign(source, {headers}) as unknown as IncomingMessage,
    framing: 'chunks',
    clock: performance,
    confirmEnd: () => Promise.resolve(true),
    abort: () => source.destroy(),
    releaseLoad: () => undefined,
    memory: budget.openAccount(),
    onEvents,
    onPause: () => {
      counts.pauses += 1;
    },
  });
  return {source, budget, stream, counts};
}

describe('EndpointStream', () => {
  it('tells of a pause for lack of memory, and goes on after it', async () => {
    const {source, budget, stream, counts} = createStream(() => undefined);
    const other = budget.openAccount();
    void other.holdResponse(BUDGET_BYTES, BUDGET_BYTES);
    const end = stream.run();
    source.write(PART_OF_EVENT);
    await settle();
    assert.equal(counts.pauses, 1);
    assert.equal(source.isPaused(), true);
    other.close();
    source.end('\n\n');
    assert.equal((await end).kind, 'complete');
    assert.equal(stream.wasPaused, true);
    assert.equal(budget.heldBytes, 0);
  });

  it('tells of a pause for the caller', async () => {
    let resume = () => undefined as void;
    const drained = new Promise<void>(resolve => (resume = resolve));
    const {source, stream, counts} = createStream(() => drained);
    const end = stream.run();
    source.end('data: a\n\n');
    await settle();
    assert.equal(counts.pauses, 1);
    resume();
    assert.equal((await end).kind, 'complete');
  });

  // Guards against an exception in a listener of the connection, which would end
  // the process with all its other requests.
  it('breaks off when its events cannot be forwarded', async () => {
    const {source, budget, stream} = createStream(() => {
      throw new Error('the head has a field that cannot be sent');
    });
    const end = stream.run();
    source.write('data: a\n\ndata: b');
    assert.deepEqual(await end, {
      kind: 'broken',
      reason:
        'its events were not forwarded: the head has a field that cannot be sent',
    });
    assert.equal(source.destroyed, true);
    assert.equal(budget.heldBytes, 0);
  });
});
