/**
 * A request that is rejected with the outcome `not_run` has not run.
 *
 * Guards against duplicate executions: a caller repeats a request with this
 * outcome, so it must be accurate after overload, a missed deadline and the
 * crash of a sidecar.
 */
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';

import {
  requestCompletion,
  type GatewayResponse,
} from '../fleet/gateway_client.js';
import {Fleet} from '../fleet/fleet.js';
import {createTestPlan, KEY, MODEL} from './test_plan.js';

const CALLERS = 60;

interface SentRequest {
  readonly prompt: string;
  readonly response: GatewayResponse;
}

describe('outcome not_run', () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await Fleet.start(
      createTestPlan({
        engineOptions: {memoryCapacityTokens: 700},
        configuration: {'defaults.maximumWaitingPerOrganisation': 12},
      }),
    );
  });

  after(() => fleet.stop());

  async function sendRequests(
    name: string,
    deadlineMilliseconds: number,
    onSent: () => void = () => undefined,
  ): Promise<readonly SentRequest[]> {
    const pending = Array.from({length: CALLERS}, async (_, index) => {
      const prompt = `${name} len=120 seed=${index}`;
      const response = await requestCompletion({
        gateway: fleet.gatewayUrls[index % 2] ?? '',
        key: KEY,
        model: MODEL,
        prompt,
        stream: index % 2 === 0,
        deadlineMilliseconds,
      });
      return {prompt, response};
    });
    onSent();
    return Promise.all(pending);
  }

  /** Checks each `not_run` outcome against the ledgers of the engines. */
  function assertNotRun(sent: readonly SentRequest[]): readonly SentRequest[] {
    const ran = new Set(
      [...fleet.engines.values()].flatMap(({ledger}) =>
        ledger.map(entry => entry.prompt),
      ),
    );
    const notRun = sent.filter(
      ({response}) => response.error?.outcome === 'not_run',
    );
    const wronglyReported = notRun.filter(({prompt}) => ran.has(prompt));
    assert.deepEqual(
      wronglyReported.map(({prompt}) => prompt),
      [],
    );
    return notRun;
  }

  it('is accurate when requests exceed the queue limit', async () => {
    const notRun = assertNotRun(await sendRequests('overload', 20_000));
    assert.ok(notRun.length > 0);
    for (const {response} of notRun) {
      assert.ok(response.headers['retry-after'] !== undefined);
      assert.ok((response.error?.remedy ?? '') !== '');
    }
  });

  it('is accurate when deadlines pass in the queue', async () => {
    const notRun = assertNotRun(await sendRequests('deadline', 600));
    assert.ok(notRun.length > 0);
  });

  it('cancels running generations when their callers disconnect', async () => {
    const aborted = new AbortController();
    const pending = Array.from({length: 20}, (_, index) =>
      requestCompletion({
        gateway: fleet.gatewayUrls[0] ?? '',
        key: KEY,
        model: MODEL,
        prompt: `gone len=400 seed=${index}`,
        signal: aborted.signal,
      }),
    );
    const engines = [...fleet.engines.values()];
    const findRunning = () =>
      engines.flatMap(({ledger}) =>
        ledger.filter(
          entry => entry.prompt.startsWith('gone') && entry.end === undefined,
        ),
      );
    while (findRunning().length === 0) {
      await new Promise(resolve => setImmediate(resolve));
    }
    aborted.abort();
    await Promise.all(pending);
    while (findRunning().length > 0) {
      await new Promise(resolve => setImmediate(resolve));
    }
    const ends = engines.flatMap(({ledger}) =>
      ledger
        .filter(entry => entry.prompt.startsWith('gone'))
        .map(({end}) => end),
    );
    assert.ok(ends.includes('cancelled'));
  });

  it('is accurate when a sidecar with running and queued requests is killed', async () => {
    const {ledger} = fleet.engine('modelo-1');
    const hasStarted = () =>
      ledger.some(({prompt, tokens}) => prompt.startsWith('killed') && tokens);
    const sent = await sendRequests('killed', 4_000, () => {
      const timer = setInterval(() => {
        if (hasStarted()) {
          clearInterval(timer);
          fleet.sidecar('modelo-1').signal('SIGKILL');
        }
      }, 1);
    });
    assertNotRun(sent);
    const responded = sent.filter(
      ({response}) => response.complete || response.error !== undefined,
    );
    assert.equal(responded.length, CALLERS);
    const unknown = sent.filter(
      ({response}) => response.error?.outcome === 'unknown',
    );
    assert.ok(unknown.length > 0);
  });
});
