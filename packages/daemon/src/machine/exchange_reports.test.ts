/**
 * Tests of the reports between gateways. Guards against a gateway that is cut off
 * from all others and counts their work until its own requests expire.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {VirtualClock} from '@briarpin/coordination';
import type {ForwardingContext} from '@briarpin/forwarding';

import {watchSilentGateways} from './exchange_reports.js';

/** Runs the check for some seconds in which one gateway becomes silent. */
async function runCheck(queuesForEngines: boolean) {
  const clock = new VirtualClock();
  const controller = new AbortController();
  const removed: string[] = [];
  let reviews = 0;
  let silent = ['other'];
  const context = {
    clock,
    loads: {removeGateway: (gateway: string) => removed.push(gateway)},
    organisationWork: {
      removeGateway: (gateway: string) => removed.push(`${gateway} work`),
    },
    engineQueue: {reviewAfterReport: () => (reviews += 1)},
    queuesForEngines: () => queuesForEngines,
  } as unknown as ForwardingContext;
  const mesh = {
    evictSilentGateways: (silenceMilliseconds: number) => {
      const evicted = clock.now() > silenceMilliseconds ? silent : [];
      silent = evicted.length > 0 ? [] : silent;
      return evicted;
    },
  };
  const watching = watchSilentGateways(context, mesh, controller.signal);
  await clock.advance(4_000);
  controller.abort();
  await clock.advance(1_000);
  await watching;
  return {removed, reviews};
}

describe('watchSilentGateways', () => {
  it('removes the work of silent gateways while none reports', async () => {
    assert.deepEqual(await runCheck(true), {
      removed: ['other', 'other work'],
      reviews: 1,
    });
  });

  it('changes nothing where requests do not wait for engines', async () => {
    assert.deepEqual(await runCheck(false), {removed: [], reviews: 0});
  });
});
