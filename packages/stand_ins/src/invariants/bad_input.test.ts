/**
 * Invalid input results in a specific error or a closed connection and affects
 * no other request.
 *
 * Guards against invalid requests that are run or answered without a remedy,
 * and against slow clients and readers that block other callers or grow the
 * buffers without bound.
 */
import assert from 'node:assert/strict';
import http from 'node:http';
import net from 'node:net';
import {after, before, describe, it} from 'node:test';

import {
  callService,
  expectedText,
  requestCompletion,
  type CompletionRequest,
} from '../fleet/gateway_client.js';
import {Fleet} from '../fleet/fleet.js';
import {createTestPlan, KEY, MODEL} from './test_plan.js';

const MAXIMUM_BODY_BYTES = 10_000;
const HEAD_TIMEOUT_MILLISECONDS = 500;

interface RawResponse {
  readonly status: number;
  readonly error: {
    readonly type: string;
    readonly outcome: string;
    readonly remedy: string;
  };
}

describe('invalid input', () => {
  let fleet: Fleet;
  let gateway: string;

  before(async () => {
    fleet = await Fleet.start(
      createTestPlan({
        gateways: 1,
        engines: 1,
        serviceSidecars: 1,
        gatewaySettings: {
          maximumBodyBytes: MAXIMUM_BODY_BYTES,
          requestHeadTimeoutMilliseconds: HEAD_TIMEOUT_MILLISECONDS,
        },
        sidecarSettings: {bufferedTokensPerStream: 32},
      }),
    );
    gateway = fleet.gatewayUrls[0] ?? '';
  });

  after(() => fleet.stop());

  async function post(
    body: string,
    headers: Record<string, string> = {},
  ): Promise<RawResponse> {
    const response = await fetch(`${gateway}/v1/completions`, {
      method: 'POST',
      headers: {authorization: `Bearer ${KEY}`, ...headers},
      body,
    });
    const {error} = (await response.json()) as {error: RawResponse['error']};
    return {status: response.status, error};
  }

  function sendCompletion(overrides: Partial<CompletionRequest> = {}) {
    return requestCompletion({
      gateway,
      key: KEY,
      model: MODEL,
      prompt: 'len=3 seed=1',
      ...overrides,
    });
  }

  const validBody = JSON.stringify({model: MODEL, prompt: 'len=3 seed=1'});
  const cases: readonly (readonly [
    string,
    string,
    Record<string, string>,
    number,
    string,
  ])[] = [
    ['broken JSON', '{"model":', {}, 400, 'bad_json'],
    ['an empty body', '', {}, 400, 'bad_json'],
    ['a wrong type', '{"model":7,"prompt":"x"}', {}, 400, 'bad_request'],
    ['a missing prompt', '{"model":"modelo"}', {}, 400, 'bad_request'],
    [
      'an unknown field',
      '{"model":"m","prompt":"","n":1}',
      {},
      400,
      'bad_request',
    ],
    ['an unknown model', '{"model":"m","prompt":""}', {}, 404, 'unknown_model'],
    ['a large body', `"${'x'.repeat(20_000)}"`, {}, 413, 'too_large'],
    ['no key', validBody, {authorization: ''}, 401, 'unauthorized'],
    [
      'a wrong key',
      validBody,
      {authorization: 'Bearer no'},
      401,
      'unauthorized',
    ],
    ['a wrong class', validBody, {'briarpin-class': 'mine'}, 400, 'bad_header'],
    [
      'a wrong deadline',
      validBody,
      {'briarpin-deadline-ms': '-1'},
      400,
      'bad_header',
    ],
    [
      'a wrong identifier',
      validBody,
      {'briarpin-request-id': 'a b'},
      400,
      'bad_header',
    ],
    [
      'a wrong event',
      validBody,
      {'last-event-id': 'nonsense'},
      400,
      'bad_header',
    ],
  ];
  for (const [name, body, headers, status, type] of cases) {
    it(`responds to ${name} with status ${status}`, async () => {
      const response = await post(body, headers);
      assert.equal(response.status, status);
      assert.equal(response.error.type, type);
      assert.equal(response.error.outcome, 'not_run');
      assert.ok(response.error.remedy !== '');
    });
  }

  it('rejects an unknown service and an unknown path', async () => {
    const call = {gateway, key: KEY, method: 'GET'};
    const service = await callService({...call, path: '/services/none/x'});
    assert.equal(service.error?.type, 'unknown_service');
    const path = await callService({...call, path: '/v2/else'});
    assert.equal(path.error?.type, 'not_found');
  });

  it('reports generation_lost when resuming an unknown generation', async () => {
    const response = await sendCompletion({
      stream: true,
      lastEventId: 'modelo-1~gone:5',
    });
    assert.equal(response.complete, false);
    assert.equal(response.error?.type, 'generation_lost');
  });

  it('closes a connection that sends its request head too slowly', async () => {
    const {port} = new URL(gateway);
    const socket = net.connect(Number(port), '127.0.0.1');
    socket.on('error', () => undefined);
    socket.write('POST /v1/completions HTTP/1.1\r\nHost: x\r\n');
    await new Promise<void>(resolve => {
      socket.on('data', () => undefined);
      socket.on('close', () => resolve());
    });
    assert.equal((await sendCompletion()).complete, true);
  });

  it('rejects request headers that are too large', async () => {
    const status = await new Promise<number>(resolve => {
      const request = http.get(
        gateway,
        {agent: false, headers: {'x-large': 'x'.repeat(40_000)}},
        response => resolve(response.statusCode ?? 0),
      );
      request.on('error', () => resolve(431));
    });
    assert.equal(status, 431);
  });

  it('does not let request headers inject lines into the log', async () => {
    await sendCompletion({prompt: 'len=2 seed=2'});
    const lines = fleet.gateway('gateway-1').process.log;
    assert.ok(lines.every(fields => fields['event'] !== undefined));
  });

  it('serves other callers while a reader does not read its stream', async () => {
    const {port} = new URL(gateway);
    const body = JSON.stringify({
      model: MODEL,
      prompt: 'len=20000 seed=9',
      stream: true,
    });
    const socket = net.connect(Number(port), '127.0.0.1');
    socket.on('error', () => undefined);
    socket.write(
      'POST /v1/completions HTTP/1.1\r\nHost: x\r\n' +
        `Authorization: Bearer ${KEY}\r\nContent-Length: ${body.length}\r\n` +
        `\r\n${body}`,
    );
    socket.pause();
    const engine = fleet.engine('modelo-1');
    const findEntry = () =>
      engine.ledger.find(({prompt}) => prompt === 'len=20000 seed=9');
    while ((findEntry()?.tokens ?? 0) < 200) {
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    // A request of another caller completes while this one does not read.
    const response = await sendCompletion({prompt: 'len=30 seed=3'});
    assert.equal(response.text, expectedText(30, 3));
    socket.destroy();
    while (findEntry()?.end === undefined) {
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    assert.equal(findEntry()?.end, 'cancelled');
  });
});
