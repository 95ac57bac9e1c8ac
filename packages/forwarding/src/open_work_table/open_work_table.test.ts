/**
 * Tests the sum of unfinished work.
 *
 * Guards against work of a lost gateway that counts for ever, entries of
 * endpoints without work, and a report that is added to the previous one.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {NO_WORK, OpenWorkTable} from './open_work_table.js';

const RUN = {requests: 1, tokens: 3_000, promptTokens: 2_000};
const CHECKPOINT = {tokens: 3_000};

describe('OpenWorkTable', () => {
  it('has no work at an endpoint that it does not know', () => {
    assert.deepEqual(new OpenWorkTable().sum('a'), NO_WORK);
  });

  it('replaces the previous report of a gateway', () => {
    const table = new OpenWorkTable();
    table.adjust('a', RUN, 1);
    table.setReported('front-2', new Map([['a', RUN]]));
    table.setReported('front-2', new Map([['a', RUN]]));
    assert.equal(table.sum('a').requests, 2);
    table.setReported('front-2', new Map());
    assert.deepEqual(table.sum('a'), RUN);
  });

  it('adds up gateways, and removes one that is lost', () => {
    const table = new OpenWorkTable();
    table.setReported('front-2', new Map([['a', RUN]]));
    table.setReported('front-3', new Map([['a', RUN]]));
    assert.equal(table.sum('a').tokens, 6_000);
    table.removeGateway('front-2');
    table.removeGateway('front-3');
    assert.deepEqual(table.sum('a'), NO_WORK);
  });

  it('keeps no entry once all parts are released, in any order', () => {
    const table = new OpenWorkTable();
    table.adjust('a', RUN, 1);
    table.adjust('a', {promptTokens: 2_000}, -1);
    table.adjust('a', {requests: 1, tokens: 3_000}, -1);
    assert.equal(table.local.size, 0);
  });

  it('keeps the memory of a checkpoint at an endpoint without requests', () => {
    const table = new OpenWorkTable();
    table.adjust('a', CHECKPOINT, 1);
    table.adjust('a', RUN, 1);
    table.adjust('a', RUN, -1);
    assert.deepEqual(table.local.get('a'), {...NO_WORK, ...CHECKPOINT});
    table.adjust('a', CHECKPOINT, -1);
    assert.equal(table.local.size, 0);
  });
});
