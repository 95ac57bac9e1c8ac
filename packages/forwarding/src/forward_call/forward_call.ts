/**
 * Forwarding calls whose answer is one body.
 */
import {selectEndpoint} from '@briarpin/scheduling';

import {
  gatherBody,
  type Attempt,
  type AttemptResult,
} from '../endpoint_client/endpoint_client.js';
import type {EndpointCandidate} from '../endpoint_loads/endpoint_loads.js';
import {
  answerUnanswered,
  deliverAnswer,
  findUntried,
  logFailedAttempt,
  remainingMilliseconds,
  type Exchange,
  type ExchangeEnd,
  type ForwardingParts,
  type WholeAnswer,
} from '../exchange/exchange.js';
import {permitRetry} from '../permit_retry/permit_retry.js';

/**
 * When a caller may come back whose request found no room: a few times the
 * work of a call.
 */
const CROWDED_RETRY_MILLISECONDS = 150;

/** Status of an endpoint's own failure. */
const FIRST_FAILURE_STATUS = 500;

/** What an attempt came to, its body included. */
type CallResult =
  | (WholeAnswer & {readonly kind: 'whole'})
  | {readonly kind: 'not_run'; readonly wasSent: boolean; reason: string}
  | {readonly kind: 'unknown'; readonly reason: string};

/**
 * Forwards a call, to a second endpoint where that is allowed.
 *
 * @param exchange - The request
 * @param parts - Parts of the gateway
 * @returns How it ended
 */
export async function forwardCall(
  exchange: Exchange,
  parts: ForwardingParts,
): Promise<ExchangeEnd> {
  parts.retryBudgets.find(exchange.service.name).recordFirstAttempt();
  let sends = 0;
  let mayHaveRun = false;
  let failure: CallResult | undefined;
  for (;;) {
    const choice = choose(exchange, parts);
    if (choice === undefined) {
      break;
    }
    exchange.tried.push(choice.id);
    const result = await call(exchange, parts, choice);
    if (exchange.response.destroyed) {
      return {outcome: 'left', status: 0};
    }
    if (isGood(result)) {
      return deliverAnswer(exchange, parts, result);
    }
    logFailedAttempt(exchange, parts, choice.id, describe(result));
    failure = result;
    sends += result.kind === 'not_run' && !result.wasSent ? 0 : 1;
    mayHaveRun ||= result.kind !== 'not_run';
    const mayRetry = permitRetry(exchange, parts, {
      notRun: result.kind === 'not_run',
      idempotent: exchange.route.repeatability === 'idempotent',
      sends,
      wasSent: sends > 0,
    });
    if (!mayRetry) {
      break;
    }
  }
  if (failure?.kind === 'whole') {
    return deliverAnswer(exchange, parts, failure);
  }
  return answerUnanswered(exchange, parts, {
    reason: failure?.reason ?? 'no endpoint takes work',
    mayHaveRun,
    retryAfterMilliseconds: CROWDED_RETRY_MILLISECONDS,
  });
}

function choose(
  exchange: Exchange,
  parts: ForwardingParts,
): EndpointCandidate | undefined {
  const entries = findUntried(exchange, parts);
  return selectEndpoint(
    parts.loads.computeCandidates(entries, exchange.service),
    {
      random: parts.random,
      neededTokens: 0,
    },
  );
}

function isGood(result: CallResult): result is CallResult & {kind: 'whole'} {
  return result.kind === 'whole' && result.status < FIRST_FAILURE_STATUS;
}

async function call(
  exchange: Exchange,
  parts: ForwardingParts,
  {entry}: EndpointCandidate,
): Promise<CallResult> {
  const {loads, clock} = parts;
  const sentAt = clock.now();
  loads.add(entry.id, {requests: 1});
  try {
    const attempt = await parts.client.send(
      createAttempt(exchange, parts, entry),
    );
    const result = await readResult(attempt);
    const failed = !isGood(result);
    loads.recordOutcome(
      entry.id,
      failed,
      failed ? undefined : clock.now() - sentAt,
    );
    return result;
  } finally {
    loads.remove(entry.id, {requests: 1});
  }
}

function createAttempt(
  exchange: Exchange,
  parts: ForwardingParts,
  endpoint: EndpointCandidate['entry'],
): Attempt {
  const {request, body, facts} = exchange;
  return {
    endpoint,
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: parts.dialect.writeAttempt(request.rawHeaders, body.length, {
      endpointId: endpoint.id,
      remainingMilliseconds: remainingMilliseconds(exchange, parts.clock),
      organisation: exchange.organisation?.name,
    }),
    body,
    requestId: facts.requestId,
    // A reset of a used connection cannot be told from a run.
    mayReuseConnection: exchange.route.repeatability === 'idempotent',
    signal: exchange.signal,
  };
}

async function readResult(attempt: AttemptResult): Promise<CallResult> {
  switch (attempt.kind) {
    case 'not_sent':
      return {kind: 'not_run', wasSent: false, reason: attempt.reason};
    case 'refused':
      return {
        kind: 'not_run',
        wasSent: true,
        reason: `the endpoint refused it with ${attempt.status}`,
      };
    case 'unknown':
      return attempt;
    case 'answered': {
      const {response, facts} = attempt;
      const status = response.statusCode ?? 0;
      const gathered = await gatherBody(attempt);
      if (gathered.kind === 'broken') {
        return {kind: 'unknown', reason: gathered.reason};
      }
      if (!facts.isSigned) {
        return {kind: 'unknown', reason: 'the answer bears no signature'};
      }
      const {rawHeaders} = response;
      return {kind: 'whole', status, headers: rawHeaders, body: gathered.body};
    }
  }
}

function describe(result: CallResult): string {
  return result.kind === 'whole'
    ? `the endpoint answered ${result.status}`
    : result.reason;
}
