/**
 * Tests of the outcome of a revocation: guards against "not run" for an attempt
 * that ran before this process started, or that this process has forgotten.
 */
import assert from 'node:assert/strict';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';

import {
  ConfigurationTable,
  VirtualClock,
  type ClaimLog,
} from '@briarpin/coordination';
import {Outcome, ServiceCall} from '@briarpin/messages';

import type {EngineClient} from '../engine/engine_client.js';
import {GracePeriod} from '../shared/grace_period.js';
import type {ProcessContext} from '../shared/process_context.js';
import {ModelRunner} from './model_runner.js';
import {ServiceRunner} from './service_runner.js';

const RESUME_GRACE_MILLISECONDS = 10_000;
const SHUTDOWN_GRACE_MILLISECONDS = 30_000;

function createContext(clock: VirtualClock): ProcessContext {
  const replica = {table: new ConfigurationTable()};
  const gracePeriod = new GracePeriod(clock, SHUTDOWN_GRACE_MILLISECONDS);
  const instance = 'modelo-1';
  return {instance, clock, replica, gracePeriod} as unknown as ProcessContext;
}

function createModelRunner(clock: VirtualClock): ModelRunner {
  return new ModelRunner(createContext(clock), {} as EngineClient, {
    service: 'modelo',
    maximumWaiting: 1,
    bufferedTokensPerStream: 1,
    resumeGraceMilliseconds: RESUME_GRACE_MILLISECONDS,
    loadReportMilliseconds: 100,
  });
}

describe('revocation of an attempt without a record', () => {
  it('is unknown when the attempt is older than the process', async () => {
    const clock = new VirtualClock();
    const runner = createModelRunner(clock);
    await clock.advance(1_000);
    assert.equal(runner.revoke('attempt', 2_000), Outcome.UNKNOWN);
  });

  it('is unknown when the process may have forgotten the attempt', async () => {
    const clock = new VirtualClock();
    const runner = createModelRunner(clock);
    await clock.advance(60_000);
    const age = RESUME_GRACE_MILLISECONDS + 1;
    assert.equal(runner.revoke('attempt', age), Outcome.UNKNOWN);
  });

  it('is not run when the process would still know it', async () => {
    const clock = new VirtualClock();
    const runner = createModelRunner(clock);
    await clock.advance(60_000);
    assert.equal(runner.revoke('attempt', 2_000), Outcome.NOT_RUN);
  });

  it('is unknown for a call that a plain service has run', async () => {
    const server = http.createServer((request, response) => {
      request.resume();
      response.end('ran');
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const runner = new ServiceRunner(
      createContext(new VirtualClock()),
      {} as ClaimLog,
      {service: 'desk', serviceUrl: `http://127.0.0.1:${port}`},
    );
    const call = ServiceCall.fromPartial({
      attemptId: 'attempt',
      idempotent: true,
      deadlineMilliseconds: 1_000,
      method: 'GET',
      path: '/',
    });
    const {body} = await runner.call(call);
    server.close();
    server.closeAllConnections();
    assert.equal(body?.$case, 'answer');
    assert.equal(runner.revoke('attempt'), Outcome.UNKNOWN);
  });
});
