/**
 * Tests how a response body is collected within the memory of a gateway.
 *
 * Guards against memory that a failed response keeps, and against an endpoint
 * that counts as failed because this gateway did not read its response.
 */
import assert from 'node:assert/strict';
import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {beforeEach, describe, it} from 'node:test';

import type {AttemptResult} from '../endpoint_client/endpoint_client.js';
import {
  MemoryBudget,
  type MemoryAccount,
} from '../memory_budget/memory_budget.js';
import {bufferBody, MAXIMUM_BUFFERED_BYTES} from './buffer_body.js';

const BODY = Buffer.alloc(200_000, 'x');

const settle = () => new Promise(resolve => setImmediate(resolve));

describe('bufferBody', () => {
  let budget: MemoryBudget;
  let account: MemoryAccount;
  let source: PassThrough;

  beforeEach(() => {
    budget = new MemoryBudget(1_000_000);
    account = budget.openAccount();
    source = new PassThrough({highWaterMark: 2 * MAXIMUM_BUFFERED_BYTES});
  });

  const collect = (statedBytes?: number, isComplete = true) => {
    const headers =
      statedBytes === undefined ? {} : {'content-length': String(statedBytes)};
    const result = {
      kind: 'answered',
      response: Object.assign(source, {headers}) as unknown as IncomingMessage,
      framing: statedBytes === undefined ? 'chunks' : 'length',
      confirmEnd: () => Promise.resolve(isComplete),
    } as AttemptResult & {kind: 'answered'};
    return bufferBody(result, account);
  };

  /** Leaves no room for a large response of another request. */
  const fillBudget = (): MemoryAccount => {
    const other = budget.openAccount();
    assert.equal(other.holdResponse(1_000_000, 1_000_000), undefined);
    return other;
  };

  it('holds the stated length before the body arrives', async () => {
    const buffered = collect(BODY.length);
    assert.equal(budget.heldBytes, BODY.length);
    source.end(BODY);
    assert.deepEqual(await buffered, {
      kind: 'whole',
      body: BODY,
      wasPaused: false,
    });
    assert.equal(budget.heldBytes, BODY.length);
  });

  it('holds the real size of a body of unknown length at its end', async () => {
    const buffered = collect();
    source.write(BODY);
    await settle();
    assert.equal(budget.heldBytes, MAXIMUM_BUFFERED_BYTES);
    source.end();
    await buffered;
    assert.equal(budget.heldBytes, BODY.length);
  });

  it('pauses while there is no room, and is whole afterwards', async () => {
    const other = fillBudget();
    const buffered = collect(BODY.length);
    source.end(BODY);
    await settle();
    assert.equal(source.isPaused(), true);
    other.close();
    assert.deepEqual(await buffered, {
      kind: 'whole',
      body: BODY,
      wasPaused: true,
    });
  });

  it('says of a response that breaks off that it was paused', async () => {
    fillBudget();
    const buffered = collect(BODY.length);
    await settle();
    source.destroy(new Error('reset'));
    assert.deepEqual(await buffered, {
      kind: 'broken',
      reason: 'reset',
      wasPaused: true,
    });
    assert.equal(budget.heldBytes, 1_000_000);
  });

  it('releases nothing of a retry when a failed response closes later', async () => {
    const buffered = collect();
    source.emit('error', new Error('reset'));
    assert.equal((await buffered).kind, 'broken');
    account.setResponseBytes(500);
    source.emit('close');
    assert.equal(budget.heldBytes, 500);
  });

  for (const [description, end, isComplete] of [
    ['breaks off', () => source.destroy(), true],
    ['is not confirmed', () => source.end(), false],
    [
      'is too large',
      () => source.end(Buffer.alloc(MAXIMUM_BUFFERED_BYTES)),
      true,
    ],
  ] as const) {
    it(`releases the memory of a response that ${description}`, async () => {
      const buffered = collect(undefined, isComplete);
      source.write(BODY);
      await settle();
      end();
      const result = await buffered;
      assert.equal(result.kind, 'broken');
      assert.equal(result.kind === 'broken' && result.wasPaused, false);
      assert.equal(budget.heldBytes, 0);
    });
  }
});
