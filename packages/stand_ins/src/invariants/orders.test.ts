/**
 * Orders to engines carry a fencing number, and a stale one has no effect.
 *
 * Guards against a sidecar that was suspended, resumes after its replacement
 * has loaded and unloaded models, and reverts these changes.
 */
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';

import {EngineStandIn} from '../engine/engine_stand_in.js';
import {Fleet} from '../fleet/fleet.js';
import {createTestPlan} from './test_plan.js';

describe('orders with fencing numbers', () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await Fleet.start(createTestPlan({engines: 1, gateways: 1}));
  });

  after(() => fleet.stop());

  async function waitForOrder(
    engine: EngineStandIn,
    kind: string,
    model: string,
  ) {
    for (;;) {
      const order = engine.orders.find(
        received => received.kind === kind && received.model === model,
      );
      if (order !== undefined) {
        return order;
      }
      await new Promise(resolve => setTimeout(resolve, 20));
    }
  }

  it('sends load orders with the configuration offset as fencing number', async () => {
    const offset = fleet.configure('services.modelo', {
      kind: 'model',
      models: [{name: 'modelo'}, {name: 'pitch'}],
    });
    const order = await waitForOrder(fleet.engine('modelo-1'), 'load', 'pitch');
    assert.equal(order.fencingNumber, offset);
    assert.equal(order.status, 200);
  });

  it('keeps newer changes when a suspended, replaced sidecar resumes', async () => {
    const engine = fleet.engine('modelo-1');
    const replaced = fleet.sidecar('modelo-1');
    replaced.signal('SIGSTOP');
    const replacement = await fleet.restartSidecar('modelo-1');
    const offset = fleet.configure('services.modelo', {
      kind: 'model',
      models: [{name: 'modelo'}, {name: 'stalls'}],
    });
    const newer = await waitForOrder(engine, 'load', 'stalls');
    assert.equal(newer.fencingNumber, offset);
    await waitForOrder(engine, 'unload', 'pitch');
    const before = engine.orders.length;
    replaced.signal('SIGCONT');
    // The replaced sidecar reads the configuration before it sends orders.
    await replaced.waitFor(
      'configuration',
      fields => Number(fields['version']) >= offset,
    );
    const later = engine.orders.slice(before);
    const staleAccepted = later.filter(
      order => order.status === 200 && order.fencingNumber < offset,
    );
    assert.deepEqual(staleAccepted, []);
    replaced.signal('SIGKILL');
    await replaced.exited;
    assert.ok(replacement.pid > 0);
  });

  it('rejects a stale fencing number at an engine that checks it', async () => {
    const url = fleet.endpointUrl('modelo-1');
    const send = (fencingNumber: number) =>
      fetch(`${url}/orders`, {
        method: 'POST',
        body: JSON.stringify({kind: 'unload', model: 'modelo', fencingNumber}),
      });
    assert.equal((await send(1)).status, 409);
  });
});
