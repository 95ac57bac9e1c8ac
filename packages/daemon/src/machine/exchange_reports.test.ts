/**
 * Tests the end of the work that other gateways have reported.
 *
 * Guards against work and pace of a lost gateway that count although its reports
 * have ended.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {EndpointLoads, type ForwardingContext} from '@briarpin/forwarding';

import {evictSilentGateways} from './exchange_reports.js';

const WORK = {requests: 7, tokens: 20_000, promptTokens: 0};

describe('evictSilentGateways', () => {
  it('ends the work of a gateway without a report for 2 s', () => {
    const time = {now: 0};
    const loads = new EndpointLoads({
      now: () => time.now,
      findDraining: () => [],
      roundTripMilliseconds: () => 0,
    });
    const removed: string[] = [];
    const organisationWork = {
      removeGateway: (name: string) => void removed.push(name),
    } as unknown as ForwardingContext['organisationWork'];
    const mesh = {
      evictSilentGateways: (milliseconds: number) =>
        time.now > milliseconds ? ['front-2'] : [],
    };
    loads.setGatewayWork('front-2', new Map([['a', WORK]]));
    time.now = 1_900;
    evictSilentGateways(mesh, {loads, organisationWork});
    assert.equal(loads.countOpenRequests('a'), 7);
    time.now = 2_100;
    evictSilentGateways(mesh, {loads, organisationWork});
    assert.equal(loads.countOpenRequests('a'), 0);
    assert.deepEqual(removed, ['front-2']);
  });
});
