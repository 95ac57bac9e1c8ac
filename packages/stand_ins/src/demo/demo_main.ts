/**
 * Demo that starts a small fleet and sends requests through its processes.
 *
 * With `--serve` it prints the addresses of the fleet and runs until it is
 * terminated.
 */
import http from 'node:http';
import {parseArgs} from 'node:util';

import type {HistogramSummary} from '@briarpin/messages';

import {
  callService,
  expectedText,
  requestCompletion,
  type GatewayResponse,
} from '../fleet/gateway_client.js';
import {Fleet} from '../fleet/fleet.js';
import {DEMO_PLAN} from './demo_plan.js';

const MAXIMUM_PRINTED_CHARACTERS = 60;

const {values} = parseArgs({
  options: {serve: {type: 'boolean'}, verbose: {type: 'boolean'}},
});
const fleet = await Fleet.start({...DEMO_PLAN, echo: values.verbose});
if (values.serve) {
  await serveUntilTerminated();
} else {
  await runRequests();
}

/** Prints the addresses of the fleet and runs until SIGTERM or SIGINT. */
async function serveUntilTerminated(): Promise<void> {
  const terminated = new Promise<void>(resolve => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
  const description = {
    gateways: fleet.gatewayUrls,
    sidecars: [...fleet.sidecars].map(([instance, daemon]) => ({
      instance,
      address: findAddress(instance),
      pid: daemon.pid,
    })),
    engines: DEMO_PLAN.engines.map(({instance}) => fleet.endpointUrl(instance)),
    services: [...fleet.services.keys()].map(name => ({
      name,
      url: fleet.endpointUrl(name),
    })),
    models: ['fabricpen', 'modelo'],
    platform: fleet.platformAddress,
    organisations: DEMO_PLAN.organisations,
  };
  process.stdout.write(`${JSON.stringify(description)}\n`);
  await terminated;
  await fleet.stop();
}

function findAddress(instance: string): string {
  const member = fleet.platform.members.find(
    candidate => candidate.instance === instance,
  );
  return member?.address ?? '';
}

/** Sends one request of each kind and prints the responses. */
async function runRequests(): Promise<void> {
  const [firstGateway = '', secondGateway = ''] = fleet.gatewayUrls;
  const results = await Promise.all([
    runCompletion('catalogue text, whole', {
      gateway: firstGateway,
      key: 'key-sapporo-guild',
      model: 'fabricpen',
      length: 400,
      stream: false,
      requestClass: 'deferrable',
    }),
    runCompletion('fabric match, at the counter', {
      gateway: secondGateway,
      key: 'key-asahikawa-guild',
      model: 'fabricpen',
      length: 12,
      stream: false,
      requestClass: 'urgent',
    }),
    runCompletion('pitch proposal, streamed', {
      gateway: secondGateway,
      key: 'key-empanadas-del-sur',
      model: 'modelo',
      length: 300,
      stream: true,
      requestClass: 'standard',
    }),
    runCompletion('stall classification', {
      gateway: firstGateway,
      key: 'key-choripan-norte',
      model: 'modelo',
      length: 6,
      stream: true,
      requestClass: 'urgent',
    }),
    runReservation(firstGateway, secondGateway),
    runLookup(secondGateway),
  ]);
  await printHistograms();
  await fleet.stop();
  const allCorrect = results.every(isCorrect => isCorrect);
  process.stdout.write(allCorrect ? 'Every answer is whole.\n' : 'FAILED\n');
  process.exitCode = allCorrect ? 0 : 1;
}

interface DemoCompletion {
  readonly gateway: string;
  readonly key: string;
  readonly model: string;
  readonly length: number;
  readonly stream: boolean;
  readonly requestClass: string;
}

async function runCompletion(
  title: string,
  request: DemoCompletion,
): Promise<boolean> {
  const seed = request.length;
  const prompt = `${title} len=${request.length} seed=${seed}`;
  const response = await requestCompletion({...request, prompt});
  const expected = expectedText(request.length, seed);
  const isComplete = response.complete && response.text === expected;
  printResult(title, response, isComplete);
  return isComplete;
}

async function runReservation(
  firstGateway: string,
  secondGateway: string,
): Promise<boolean> {
  const call = {
    key: 'key-sapporo-guild',
    method: 'POST',
    path: '/services/remnantdesk/reservations',
    body: {lot: 'indigo-17'},
    idempotencyKey: 'hold-indigo-17',
  };
  const response = await callService({...call, gateway: firstGateway});
  const repeat = await callService({...call, gateway: secondGateway});
  const reservations = fleet
    .service('remnantdesk')
    .ledger.filter(entry => entry.method === 'POST');
  const isOnce =
    reservations.length === 1 &&
    response.complete &&
    repeat.text === response.text;
  printResult('reservation', response, response.complete);
  printResult('the same reservation again', repeat, isOnce);
  return isOnce;
}

async function runLookup(gateway: string): Promise<boolean> {
  const response = await callService({
    gateway,
    key: 'key-asahikawa-guild',
    method: 'GET',
    path: '/services/remnantdesk/stock?colour=indigo',
  });
  printResult('stock lookup', response, response.complete);
  return response.complete;
}

function printResult(
  title: string,
  response: GatewayResponse,
  isCorrect: boolean,
): void {
  const text =
    response.text.length > MAXIMUM_PRINTED_CHARACTERS
      ? `${response.text.slice(0, MAXIMUM_PRINTED_CHARACTERS)}...`
      : response.text;
  const outcome = response.error?.outcome ?? 'done';
  process.stdout.write(
    `${isCorrect ? 'ok  ' : 'BAD '} ${title}: status ${response.status}, ` +
      `${outcome}, ${response.text.length} characters: ${text}\n`,
  );
}

async function printHistograms(): Promise<void> {
  for (const url of fleet.gatewayUrls) {
    const summaries = (await getJson(
      `${url}/histograms`,
    )) as HistogramSummary[];
    process.stdout.write(`\nHistograms of ${url}, in milliseconds\n`);
    for (const summary of summaries) {
      process.stdout.write(
        `  ${summary.measure} organisation=${summary.organisation} ` +
          `class=${summary.requestClass} count=${summary.count} ` +
          `p50=${summary.p50} p95=${summary.p95} max=${summary.maximum}\n`,
      );
    }
  }
  process.stdout.write('\n');
}

function getJson(url: string): Promise<unknown> {
  return new Promise((resolve, reject) => {
    http
      .get(url, {agent: false}, response => {
        let text = '';
        response.setEncoding('utf8');
        response.on('data', (chunk: string) => (text += chunk));
        response.on('end', () => resolve(JSON.parse(text)));
      })
      .on('error', reject);
  });
}
