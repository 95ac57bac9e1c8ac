/**
 * Forwards calls whose response is a single body.
 */
import {acquireCallEndpoint} from '../acquire_call_endpoint/acquire_call_endpoint.js';
import {bufferBody} from '../buffer_body/buffer_body.js';
import {
  type Attempt,
  type AttemptResult,
} from '../endpoint_client/endpoint_client.js';
import type {EndpointCandidate} from '../endpoint_loads/endpoint_loads.js';
import {failExchange} from '../fail_exchange/fail_exchange.js';
import {sendBufferedResponse} from '../send_buffered_response/send_buffered_response.js';
import {logFailedAttempt} from '../log_failed_attempt/log_failed_attempt.js';
import {computeRemainingMilliseconds} from '../compute_remaining_milliseconds/compute_remaining_milliseconds.js';
import {computeRetryAfterMilliseconds} from '../compute_retry_after_milliseconds/compute_retry_after_milliseconds.js';
import type {Exchange, ExchangeResult} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';
import type {BufferedResponse} from '../buffered_response/buffered_response.js';
import {explainRejection} from '../explain_rejection/explain_rejection.js';
import {logUnframedEnd} from '../log_attempts/log_attempts.js';
import type {MemoryAccount} from '../memory_budget/memory_budget.js';
import type {AttemptFailure} from '../open_result/open_result.js';
import {permitRetry} from '../permit_retry/permit_retry.js';
import {recordCallOutcome} from '../record_call_outcome/record_call_outcome.js';
import {showsFault} from '../shows_fault/shows_fault.js';

/**
 * `Retry-After` of a call that no endpoint can accept: a few times the service
 * time of a call.
 */
const OVERLOAD_RETRY_MILLISECONDS = 150;

/** Lowest status with which an endpoint reports its own failure. */
const FIRST_FAILURE_STATUS = 500;

/** Outcome of an attempt, including its body. */
type CallResult =
  | (BufferedResponse & {readonly kind: 'whole'; readonly wasPaused: boolean})
  | {readonly kind: 'not_run'; readonly wasSent: boolean; reason: string}
  | {
      readonly kind: 'unknown';
      readonly reason: string;
      /** True if the gateway had paused the response for lack of memory. */
      readonly wasPaused?: boolean;
    };

/**
 * Forwards a call. Retries it at another endpoint where that is allowed.
 *
 * @param exchange - The request
 * @param context - Services shared by the request handlers
 * @returns How the exchange ended
 */
export async function forwardCall(
  exchange: Exchange,
  context: ForwardingContext,
): Promise<ExchangeResult> {
  context.retryBudgets.find(exchange.service.name).recordFirstAttempt();
  let sendCount = 0;
  let mayHaveRun = false;
  let failure: CallResult | undefined;
  let notSent: AttemptFailure | undefined;
  for (;;) {
    const acquisition = acquireCallEndpoint(exchange, context);
    const acquired =
      acquisition instanceof Promise ? await acquisition : acquisition;
    if (acquired.kind === 'failed' && exchange.response.destroyed) {
      return {outcome: 'left', status: 0, reason: acquired.reason};
    }
    if (acquired.kind !== 'placed') {
      notSent = acquired.kind === 'failed' ? acquired : undefined;
      break;
    }
    const endpointChoice = acquired.engine;
    exchange.triedEndpointIds.push(endpointChoice.id);
    const result = await sendCall(exchange, context, endpointChoice);
    recordRun(exchange, context, endpointChoice, result);
    if (exchange.response.destroyed) {
      return {outcome: 'left', status: 0};
    }
    if (isSuccess(result)) {
      return sendBufferedResponse(exchange, context, result);
    }
    logFailedAttempt(
      exchange,
      context,
      endpointChoice.id,
      describeFailure(result),
    );
    failure = result;
    sendCount += result.kind === 'not_run' && !result.wasSent ? 0 : 1;
    mayHaveRun ||= result.kind !== 'not_run';
    const mayRetry =
      canAnswerInTime(exchange, context) &&
      permitRetry(exchange, context, {
        isNotRun: result.kind === 'not_run',
        isIdempotent: exchange.route.repeatability === 'idempotent',
        sendCount,
        wasSent: sendCount > 0,
      });
    if (!mayRetry) {
      break;
    }
  }
  if (failure?.kind === 'whole') {
    return sendBufferedResponse(exchange, context, failure);
  }
  return failExchange(exchange, context, {
    reason:
      failure?.reason ??
      notSent?.reason ??
      explainRejection(exchange, context, 'no endpoint takes work'),
    mayHaveRun,
    retryAfterMilliseconds:
      notSent?.retryAfterMilliseconds ??
      computeRetryAfterMilliseconds(
        exchange,
        context,
        OVERLOAD_RETRY_MILLISECONDS,
      ),
  });
}

/** Returns whether a retry can still arrive before the deadline. */
function canAnswerInTime(
  exchange: Exchange,
  context: ForwardingContext,
): boolean {
  return (
    !context.queuesForEngines() ||
    context.engineQueue.estimateRun(exchange.route.name, 0) <
      computeRemainingMilliseconds(exchange, context)
  );
}

/** Records what the attempt shows about the endpoint's survival. */
function recordRun(
  exchange: Exchange,
  {quarantine}: ForwardingContext,
  {entry}: EndpointCandidate,
  result: CallResult,
): void {
  if (isSuccess(result)) {
    quarantine.recordCompleted(exchange);
  } else if (result.kind === 'whole') {
    quarantine.recordFailureAnswer(exchange);
  } else if (result.kind === 'unknown') {
    quarantine.recordInterrupted(exchange, entry);
  }
}

function isSuccess(result: CallResult): result is CallResult & {kind: 'whole'} {
  return result.kind === 'whole' && result.status < FIRST_FAILURE_STATUS;
}

async function sendCall(
  exchange: Exchange,
  context: ForwardingContext,
  {entry}: EndpointCandidate,
): Promise<CallResult> {
  const {loads, clock} = context;
  const sentAt = clock.now();
  loads.add(entry.id, {requests: 1});
  const openRequests = loads.countOpenRequests(entry.id);
  try {
    const attempt = await context.client.send(
      createAttempt(exchange, context, entry),
    );
    const result = await readResult(attempt, exchange.memory);
    if (attempt.kind === 'answered' && attempt.framing === 'connection') {
      logUnframedEnd(exchange, context, entry, {
        end: result.kind === 'whole' ? 'complete' : 'broken',
        reason: result.kind === 'whole' ? undefined : result.reason,
      });
    }
    if (attempt.kind === 'answered') {
      loads.recordLoad(entry.id, attempt.metadata.load);
    }
    const failed = !isSuccess(result);
    const milliseconds = clock.now() - sentAt;
    const wasPaused = result.kind !== 'not_run' && result.wasPaused === true;
    if (!failed && !wasPaused && context.queuesForEngines()) {
      context.engineQueue.recordRun(exchange.route.name, 0, milliseconds);
    }
    const isWhole = result.kind === 'whole';
    recordCallOutcome(loads, entry, {
      failed,
      isWhole,
      wasPaused,
      milliseconds,
    });
    if (!failed && !wasPaused) {
      const isInTime = milliseconds <= exchange.route.targetLatencyMilliseconds;
      loads.recordServed(entry, {openRequests, isInTime});
    } else if (!isWhole && !wasPaused && showsFault(exchange, context)) {
      loads.recordFault(entry);
    }
    return result;
  } finally {
    loads.remove(entry.id, {requests: 1});
    context.engineQueue.requestReview();
  }
}

function createAttempt(
  exchange: Exchange,
  context: ForwardingContext,
  endpoint: EndpointCandidate['entry'],
): Attempt {
  const {request, body, metadata} = exchange;
  return {
    endpoint,
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: context.dialect.buildAttemptHeaders(
      request.rawHeaders,
      body.length,
      {
        endpointId: endpoint.id,
        remainingMilliseconds: computeRemainingMilliseconds(exchange, context),
        organisation: exchange.organisation?.name,
      },
    ),
    body,
    requestId: metadata.requestId,
    // After a reset of a reused connection, it is unknown whether the call ran.
    mayReuseConnection: exchange.route.repeatability === 'idempotent',
    signal: exchange.signal,
  };
}

async function readResult(
  attempt: AttemptResult,
  memory: MemoryAccount,
): Promise<CallResult> {
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
      const {response, metadata} = attempt;
      const status = response.statusCode ?? 0;
      const buffered = await bufferBody(attempt, memory);
      if (buffered.kind === 'broken') {
        const {reason, wasPaused} = buffered;
        return {kind: 'unknown', reason, wasPaused};
      }
      if (!metadata.isSigned) {
        return {kind: 'unknown', reason: 'the answer bears no signature'};
      }
      const {rawHeaders: headers} = response;
      const {body, wasPaused} = buffered;
      return {kind: 'whole', status, headers, body, wasPaused};
    }
  }
}

function describeFailure(result: CallResult): string {
  return result.kind === 'whole'
    ? `the endpoint answered ${result.status}`
    : result.reason;
}
