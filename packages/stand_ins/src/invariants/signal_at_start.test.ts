/**
 * A signal at any time of its start ends a daemon, at once and with status 0
 * from its handlers on.
 */
import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

import type {GatewaySettings} from '@briarpin/settings';

import {DaemonProcess} from '../fleet/daemon_process.js';
import {LOCATION} from './test_plan.js';

const LAST_DELAY_MILLISECONDS = 1_000;
const DELAY_STEP_MILLISECONDS = 50;
const LIMIT_MILLISECONDS = 2_000;
const ANY_PORT = '127.0.0.1:0';

describe('a gateway that gets SIGTERM while it starts', () => {
  const folder = mkdtempSync(join(tmpdir(), 'briarpin-'));
  const file = join(folder, 'gateway.jsonc');
  const settings: GatewaySettings = {
    instance: 'gateway-1',
    ...LOCATION,
    listenAddress: ANY_PORT,
    internalAddress: ANY_PORT,
    // Nothing listens there: the gateway starts and gets no configuration.
    platformUrl: 'http://127.0.0.1:9',
  };
  writeFileSync(file, JSON.stringify(settings));

  after(() => rmSync(folder, {recursive: true, force: true}));

  it('ends whenever the signal comes', async () => {
    const failures: string[] = [];
    for (
      let delay = 0;
      delay <= LAST_DELAY_MILLISECONDS;
      delay += DELAY_STEP_MILLISECONDS
    ) {
      const daemon = new DaemonProcess('gateway-1', 'gateway', file);
      await sleep(delay);
      daemon.signal('SIGTERM');
      const limit = sleep(LIMIT_MILLISECONDS, 'running' as const, {ref: false});
      const code = await Promise.race([daemon.exited, limit]);
      daemon.signal('SIGKILL');
      // Without a code the signal itself has ended it, before its handlers.
      const hasStarted = daemon.log.some(({event}) => event === 'started');
      if (code !== 0 && !(code === null && !hasStarted)) {
        failures.push(`${delay} ms: ${code}`);
      }
    }
    assert.deepEqual(failures, []);
  });
});
