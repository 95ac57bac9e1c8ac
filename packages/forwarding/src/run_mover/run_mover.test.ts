/**
 * Tests the moves of one run, against a stream that looks complete because two
 * moves of its run have stopped it.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {VirtualClock, type EndpointEntry} from '@briarpin/coordination';

import type {MoveCall} from '../dialect/dialect.js';
import {
  createConfiguration,
  createEligibility,
  createRequest,
  type EligibilityFixture,
} from '../endpoint_eligibility/eligibility_fixture.js';
import {EndpointLoads} from '../endpoint_loads/endpoint_loads.js';
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';
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

/**
 * Moves the run of a request to an engine, and returns the targets of all copies
 * and the engines at which a request was counted.
 */
async function moveOnce(fixture: Partial<EligibilityFixture>) {
  const clock = new VirtualClock();
  const [source, target] = [createEntry('source'), createEntry('target')];
  const targets: string[] = [];
  const counted: string[] = [];
  const context = {
    clock,
    eligibility: createEligibility({entries: [source, target], ...fixture}),
    coldEndpoints: {
      recordSend: ({id}: EndpointEntry) => counted.push(id),
    },
    limits: {computePauseMilliseconds: () => 0},
    loads: new EndpointLoads({
      now: () => clock.now(),
      findDraining: () => [],
      roundTripMilliseconds: () => 0,
    }),
    regionOf: () => 'east',
    random: () => 0.5,
    logger: {info: () => undefined},
    client: {preconnect: () => undefined},
    dialect: {
      prepareMove: () => undefined,
      moveRun: (call: MoveCall) => {
        targets.push(call.target.host);
        return Promise.resolve({kind: 'copied', handle: 'h-1', events: 3});
      },
    },
  } as unknown as ForwardingContext;
  const stream = {endpoint: source, checkpointHolder: target};
  const mover = new RunMover(createRequest(), context, {
    endpointStream: () => stream,
    eventCount: () => 3,
  });
  const moving = mover.moveAway(source, true);
  await clock.advance(1_000);
  await moving;
  return {targets, counted};
}

describe('RunMover', () => {
  it('counts a move as one request at its target', async () => {
    const {targets, counted} = await moveOnce({});
    assert.ok(targets.length > 1);
    assert.deepEqual(counted, ['target']);
  });

  describe('moves no run', () => {
    const cases: Readonly<Record<string, Partial<EligibilityFixture>>> = {
      'to a forbidden region': {
        configuration: () => createConfiguration({organisation: ['west']}),
      },
      'to an evacuated zone': {evacuatedZones: new Set(['east-1'])},
      'to a cold engine at its limit': {
        coldEndpoints: {
          hasCapacity: () => false,
          isCold: () => true,
          computeWaitMilliseconds: () => 100,
        },
      },
    };
    for (const [title, fixture] of Object.entries(cases)) {
      it(title, async () => {
        const {targets, counted} = await moveOnce(fixture);
        assert.deepEqual([targets, counted], [[], []]);
      });
    }
  });

  it('moves a run once when its engine is reported as leaving twice', async () => {
    const clock = new VirtualClock();
    const source = createEntry('source');
    const target = createEntry('target');
    const calls: MoveCall[] = [];
    const context = {
      clock,
      eligibility: createEligibility({entries: [source, target]}),
      coldEndpoints: {recordSend: () => undefined},
      limits: {computePauseMilliseconds: () => 0},
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
