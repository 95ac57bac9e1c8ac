/**
 * Runs the script of a case: record, exit code, and the end of all processes.
 */
import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {fileURLToPath, URL} from 'node:url';

import {observeRequests} from './client.mjs';
import {Gateways} from './gateways.mjs';
import {Servers} from './servers.mjs';
import {Store} from './store.mjs';

/** Longest run, in milliseconds. */
const TIMEOUT_MILLISECONDS = 100_000;

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

/**
 * Runs a case and ends the process with 1 if the rule was broken, 0 if it held
 * and 2 if the case could not run.
 *
 * @param url - `import.meta.url` of the script of the case
 * @param play - Plays the case; returns what broke the rule, or nothing
 */
export async function runCase(url, play) {
  const startedAt = performance.now();
  const lines = [];
  const note = text => {
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(3);
    lines.push(`${seconds} ${text}`);
  };
  const hasTrouble = process.env.TROUBLE !== '0';
  note(`trouble: ${hasTrouble ? 'yes' : 'no'}`);
  observeRequests(note);
  const store = new Store();
  let processes = () => [];
  // What the script cannot handle is no broken rule.
  const giveUp = error => {
    process.stderr.write(`could not run: ${error?.stack ?? error}\n`);
    processes().forEach(({child}) => child.kill('SIGKILL'));
    process.exit(EXIT_NOT_RUN);
  };
  process.on('uncaughtException', giveUp);
  process.on('unhandledRejection', giveUp);
  process.on('SIGTERM', giveUp);
  process.on('SIGINT', giveUp);
  await store.start();
  const gateways = new Gateways(store.port, (name, text) =>
    text
      .split('\n')
      .filter(line =>
        /level=(warn|error)|event=(configuration|endpoint_\w+|leaving|ended) |FATAL/.test(
          line,
        ),
      )
      .forEach(line => note(`log of ${name}: ${line.slice(0, 300)}`)),
  );
  const runs = [];
  const servers = new Servers(store, ({kind, server, ...event}) => {
    note(`server ${server}: ${kind} ${JSON.stringify(event)}`);
    if (kind === 'run') {
      runs.push({server, at: performance.now(), ...event});
    }
  });
  processes = () => [...gateways.all, ...servers.all];
  let exitCode = EXIT_NOT_RUN;
  let timer;
  try {
    const broken = await Promise.race([
      play({store, gateways, servers, runs, note, hasTrouble}),
      new Promise((_, reject) => {
        timer = setTimeout(
          () => reject(new Error('the case took too long')),
          TIMEOUT_MILLISECONDS,
        );
      }),
    ]);
    broken.forEach(text => note(`BROKEN: ${text}`));
    exitCode = broken.length > 0 ? EXIT_BROKEN : EXIT_HELD;
  } catch (error) {
    note(`could not run: ${error.stack}`);
  }
  clearTimeout(timer);
  note(`exit code ${exitCode}`);
  await gateways.stop();
  await servers.stop();
  store.stop();
  writeFileSync(
    fileURLToPath(new URL('record.txt', url)),
    lines.map(hidePaths).join('\n') + '\n',
  );
  process.stdout.write(
    lines.filter(line => /BROKEN|could not|exit code/.test(line)).join('\n') +
      '\n',
  );
  process.exit(exitCode);
}

/** Leaves out where the repository lies. */
function hidePaths(line) {
  const root = fileURLToPath(new URL('../..', import.meta.url));
  return line.replaceAll(root, '').replaceAll(/file:\/\/\S*\//g, '');
}
