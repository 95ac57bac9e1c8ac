/**
 * Tests the moves of one run, against a stream that looks complete because two
 * moves of its run have stopped it.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {VirtualClock, type EndpointEntry} from '@briarpin/coordination';

import type {MoveCall} from '../dialect/dialect.js';
import type {Exchange, ForwardingContext} from '../exchange/exchange.js';
import {RunMover} from './run_mover.js';

function createEntry(id: string): EndpointEntry {
  return {
    id,
    service: 'text',
    host: id,
    port: 80,
    availabilityZone: 'east-1',
    state: 'ready',
    slots: 8,
    softwareVersion: 'v1',
    coldMilliseconds: 0,
  };
}

describe('RunMover', () => {
  it('moves a run once when its engine is reported as leaving twice', async () => {
    const clock = new VirtualClock();
    const source = createEntry('source');
    const target = createEntry('target');
    const calls: MoveCall[] = [];
    const context = {
      clock,
      endpoints: {findReady: () => [source, target]},
      limits: {hasCapacity: () => true, computePauseMilliseconds: () => 0},
      logger: {info: () => undefined},
      client: {preconnect: () => undefined},
      dialect: {
        prepareMove: () => undefined,
        moveRun: async (call: MoveCall) => {
          calls.push(call);
          await clock.sleep(10);
          return {kind: 'copied', handle: 'h-1', events: 3};
        },
      },
    } as unknown as ForwardingContext;
    const exchange = {
      metadata: {requestId: 'r-1', promptTokens: 0},
      route: {targetGapMilliseconds: 180},
      service: {name: 'text'},
    } as unknown as Exchange;
    const stream = {endpoint: source, checkpointHolder: target};
    const mover = new RunMover(exchange, context, {
      endpointStream: () => stream,
      eventCount: () => 3,
    });
    const moves = [
      mover.moveAway(source, true),
      mover.moveAway(source, true),
      mover.moveAway(source, true),
    ];
    await clock.advance(1_000);
    await Promise.all(moves);
    assert.equal(calls.filter(({stop}) => stop).length, 1);
  });
});
