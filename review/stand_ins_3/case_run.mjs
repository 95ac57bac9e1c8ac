/**
 * Frame of a case: record, temporary folder, configuration, and the end of all
 * that was started.
 */
import {URL} from 'node:url';
import {clearTimeout, setTimeout} from 'node:timers';
import console from 'node:console';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';

import {KEY} from './stream_client.mjs';

/** Longest time of a case, in milliseconds. */
const LIMIT_MILLISECONDS = 110_000;

/** True unless the case runs without its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/**
 * Runs a case and ends the process: 0 if the rule held, 1 if it was broken, 2 if
 * the case could not run.
 *
 * `play` gets `log`, `folder` and `stoppers` (functions that end what it has
 * started), and returns {broken, text}.
 */
export async function runCase(folderUrl, play) {
  const record = path.join(new URL(folderUrl).pathname, 'record.txt');
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'briarpin-case-'));
  const startedAt = Date.now();
  const lines = [];
  const log = text => {
    const seconds = ((Date.now() - startedAt) / 1_000).toFixed(3);
    lines.push(`${seconds.padStart(8)} ${text}`);
  };
  const stoppers = [];
  let code = 2;
  const finish = () => {
    for (const stop of stoppers) {
      stop();
    }
    fs.writeFileSync(record, `${lines.join('\n')}\n`);
    if (process.env.KEEP_LOGS === undefined) {
      fs.rmSync(folder, {recursive: true, force: true});
    } else {
      console.log(folder);
    }
  };
  const timer = setTimeout(() => {
    log('the case did not end in time');
    finish();
    process.exit(2);
  }, LIMIT_MILLISECONDS);
  const giveUp = reason => {
    log(`the case could not run: ${reason?.stack ?? reason}`);
    finish();
    process.exit(2);
  };
  for (const event of ['uncaughtException', 'SIGTERM', 'SIGINT']) {
    process.once(event, giveUp);
  }
  try {
    log(HAS_TROUBLE ? 'with the disruption' : 'without the disruption');
    const {broken, text} = await play({log, folder, stoppers});
    log(text);
    console.log(text);
    code = broken ? 1 : 0;
  } catch (error) {
    log(`the case could not run: ${error.stack}`);
    console.log(`the case could not run: ${error.message}`);
  }
  clearTimeout(timer);
  finish();
  process.exit(code);
}

/** Creates a configuration with one service of model servers. */
export function createConfiguration(route, service = {}) {
  return {
    Version: 7,
    Routes: [
      {
        Name: 'r-stream',
        Hostname: 'ficu95.example',
        PathPrefix: '/pufi791/',
        Type: 'stream',
        TimeoutMs: 39_000,
        TargetLatencyMs: 1_800,
        Priority: 0,
        Service: 'huvo11a',
        MaxAttempts: 3,
        Public: false,
        Sticky: true,
        Resumable: true,
        GapAimMs: 180,
        ...route,
      },
    ],
    Services: [
      {
        Name: 'huvo11a',
        HealthPath: '/health',
        MaxConns: 242,
        Protocol: 'h1',
        Tls: false,
        Engine: {
          Slots: 24,
          KvTokens: 34_319,
          KvTokenBytes: 163_840,
          LinkMbps: 24_000,
          Moves: true,
          Backups: true,
          Stride: 4,
          most: 12,
          PinMs: 4_000,
          HoldMs: 2_000,
          HandleS: 5,
          Models: [{Name: 'm'}],
        },
        ...service,
      },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{Name: 'huka270', ApiKeys: [KEY], Priority: 1}],
  };
}
