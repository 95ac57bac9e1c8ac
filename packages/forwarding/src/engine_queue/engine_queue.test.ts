/**
 * Tests of requests that wait at the gateway: callers that leave, shutdown,
 * engines that come and go, missing reports and a suspended process.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {
  createEntry,
  isWaiting,
  MEMORY_TOKENS,
  TestGateway,
} from './test_gateway.js';

describe('EngineQueue', () => {
  it('sends at once while an engine has room', async () => {
    const gateway = new TestGateway();
    const submitted = gateway.submit();
    await gateway.clock.advance(0);
    assert.equal(submitted.outcome?.kind, 'placed');
    assert.deepEqual(gateway.events, []);
  });

  it('sends a waiting request when work of this gateway ends', async () => {
    const gateway = new TestGateway();
    gateway.fill('e1');
    const submitted = gateway.submit();
    await gateway.clock.advance(100);
    assert.ok(isWaiting(submitted));
    assert.deepEqual(gateway.events, ['queued']);
    gateway.release('e1');
    gateway.queue.requestReview();
    await gateway.clock.advance(0);
    assert.equal(submitted.outcome?.kind, 'placed');
    assert.deepEqual(gateway.events, ['queued', 'dequeued']);
    assert.equal(gateway.queue.size, 0);
  });

  describe('a caller that disconnects', () => {
    it('is removed at once and never sent', async () => {
      const gateway = new TestGateway();
      gateway.fill('e1');
      const left = gateway.submit();
      await gateway.clock.advance(30);
      left.controller.abort();
      assert.equal(gateway.queue.size, 0);
      gateway.release('e1');
      await gateway.clock.advance(1_000);
      assert.equal(left.outcome?.kind, 'failed');
    });

    it('is not sent when it leaves in the moment of its placement', async () => {
      const gateway = new TestGateway();
      const left = gateway.submit();
      left.controller.abort();
      await gateway.clock.advance(0);
      assert.equal(left.outcome?.kind, 'failed');
    });
  });

  describe('a gateway that shuts down', () => {
    it('rejects what waits as not run', async () => {
      const gateway = new TestGateway();
      gateway.fill('e1');
      const waiting = gateway.submit();
      await gateway.clock.advance(30);
      gateway.shutdown.hasBegun = true;
      await gateway.clock.advance(40);
      assert.ok(waiting.outcome?.kind === 'failed');
      assert.equal(waiting.outcome.mayHaveRun, false);
      assert.equal(gateway.queue.size, 0);
    });
  });

  describe('engines that come and go', () => {
    it('keeps the place of a request while all engines are replaced', async () => {
      const gateway = new TestGateway();
      gateway.fill('e1');
      const first = gateway.submit({promptTokens: 7_000});
      await gateway.clock.advance(100);
      const second = gateway.submit({promptTokens: 7_000});
      gateway.engines = [];
      await gateway.clock.advance(500);
      assert.ok(isWaiting(first));
      gateway.engines = [createEntry('e2')];
      await gateway.clock.advance(1);
      await gateway.clock.advance(40);
      assert.equal(first.outcome?.kind, 'placed');
      void second;
    });

    it('rejects what waits when no engine returns', async () => {
      const gateway = new TestGateway();
      gateway.fill('e1');
      const waiting = gateway.submit();
      await gateway.clock.advance(40);
      gateway.engines = [];
      await gateway.clock.advance(1_200);
      assert.ok(waiting.outcome?.kind === 'failed');
      assert.ok((waiting.outcome.retryAfterMilliseconds ?? 0) >= 500);
      assert.deepEqual(gateway.events, ['queued', 'rejected_by_queue']);
    });

    it('rejects a new request at once when no engine is known', async () => {
      const gateway = new TestGateway();
      gateway.engines = [];
      const submitted = gateway.submit();
      await gateway.clock.advance(0);
      assert.deepEqual(submitted.outcome, {kind: 'none'});
    });

    it('does not send a request to an engine that it tried or to other software', async () => {
      const gateway = new TestGateway();
      gateway.engines = [
        createEntry('e1'),
        {...createEntry('e2'), softwareVersion: 'v2'},
        createEntry('e3'),
      ];
      gateway.fill('e3');
      const submitted = gateway.submit({
        triedEndpointIds: ['e1'],
        origin: {service: 'text', softwareVersion: 'v1'},
      });
      const other = gateway.submit();
      await gateway.clock.advance(100);
      assert.ok(isWaiting(submitted));
      assert.equal(other.outcome?.kind, 'placed', 'blocked by another lane');
      gateway.release('e3');
      await gateway.clock.advance(40);
      assert.ok(submitted.outcome?.kind === 'placed');
      assert.equal(submitted.outcome.engine.id, 'e3');
    });
  });

  it('does not place a request where a new configuration forbids it', async () => {
    const gateway = new TestGateway();
    gateway.engines = [createEntry('e1'), createEntry('e2')];
    gateway.fill('e1');
    gateway.fill('e2');
    const forbidden: string[] = [];
    const first = gateway.submit();
    const restricted = gateway.submit({triedEndpointIds: forbidden});
    await gateway.clock.advance(60);
    forbidden.push('e1');
    gateway.release('e1');
    await gateway.clock.advance(60);
    assert.equal(first.outcome?.kind, 'placed');
    assert.ok(isWaiting(restricted));
    gateway.release('e2');
    await gateway.clock.advance(60);
    assert.ok(restricted.outcome?.kind === 'placed');
    assert.equal(restricted.outcome.engine.id, 'e2');
  });

  it('goes on without the work that a silent gateway reported', async () => {
    const gateway = new TestGateway();
    gateway.loads.setGatewayWork(
      'other',
      new Map([['e1', {requests: 1, tokens: MEMORY_TOKENS, promptTokens: 0}]]),
    );
    const submitted = gateway.submit();
    await gateway.clock.advance(100);
    assert.ok(isWaiting(submitted));
    // Reviews after reports are at least 10 ms apart.
    await gateway.clock.advance(15);
    gateway.loads.removeGateway('other');
    gateway.queue.reviewAfterReport();
    await gateway.clock.advance(0);
    assert.equal(submitted.outcome?.kind, 'placed');
  });

  it('rejects what has expired while the process was suspended', async () => {
    const gateway = new TestGateway();
    gateway.fill('e1');
    const expired = gateway.submit({timeoutMilliseconds: 5_000});
    const valid = gateway.submit();
    await gateway.clock.advance(30);
    // Nothing is reviewed while the process is suspended.
    const {review} = gateway.queue;
    gateway.queue.review = () => undefined;
    await gateway.clock.advance(6_000);
    gateway.queue.review = review;
    gateway.release('e1');
    await gateway.clock.advance(40);
    assert.equal(expired.outcome?.kind, 'failed');
    assert.equal(valid.outcome?.kind, 'placed');
  });

  describe('calls to a plain service', () => {
    // Guards against organisations whose calls wait for the tokens that they
    // received from engines through other gateways.
    it('are not charged the tokens of engines that others report', async () => {
      const gateway = new TestGateway();
      gateway.loads.add('e1', {requests: 24});
      const call = (organisation: string) =>
        gateway.submit({
          organisation,
          isCall: true,
          timeoutMilliseconds: 10_000,
        });
      const first = call('north');
      gateway.queue.charge('north', 6_000);
      const others = [1, 2, 3].map(() => call('south'));
      await gateway.clock.advance(40);
      gateway.loads.remove('e1', {requests: 2});
      gateway.queue.review();
      await gateway.clock.advance(0);
      assert.equal(first.outcome?.kind, 'placed');
      assert.equal(others.filter(isWaiting).length, 2);
    });

    it('wait at the gateway beyond what the endpoint works off in time', async () => {
      const gateway = new TestGateway();
      gateway.loads.add('e1', {requests: 24});
      const call = gateway.submit({isCall: true, timeoutMilliseconds: 1_000});
      await gateway.clock.advance(100);
      assert.ok(isWaiting(call));
      gateway.loads.remove('e1', {requests: 20});
      gateway.queue.requestReview();
      await gateway.clock.advance(0);
      assert.equal(call.outcome?.kind, 'placed');
    });

    it('are rejected when they can no longer be answered in time', async () => {
      const gateway = new TestGateway();
      gateway.queue.recordRun('guide', 0, 300);
      gateway.loads.add('e1', {requests: 24});
      const call = gateway.submit({isCall: true, timeoutMilliseconds: 1_000});
      await gateway.clock.advance(680);
      assert.ok(isWaiting(call));
      await gateway.clock.advance(60);
      assert.equal(call.outcome?.kind, 'failed');
    });
  });
});
