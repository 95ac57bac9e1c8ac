/**
 * Handler of /services/<service>/<path>, with any method.
 */
import {randomUUID} from 'node:crypto';
import type http from 'node:http';

import {computeFingerprint} from '@briarpin/coordination';
import {
  FailureKind,
  Outcome,
  type Failure,
  type ServiceAnswer,
  type ServiceCall,
  type ServiceReply,
} from '@briarpin/messages';
import {Metadata} from '@grpc/grpc-js';
import {chooseEndpoint, decideRetry} from '@briarpin/scheduling';

import {selectForwardedHeaders} from '../plain_service/call_plain_service.js';
import {createFailure} from '../shared/failures.js';
import {toMessageClass} from '../shared/request_class.js';
import {
  createHeaderError,
  IDENTIFIER_REMEDY,
  readCallerRequest,
  readIdentifier,
  type CallerRequest,
} from './caller_request.js';
import type {Endpoint} from './endpoint_directory.js';
import type {GatewayDependencies} from './gateway_dependencies.js';
import {
  createRequestError,
  sendHttpError,
  toHttpError,
  toOutcomeName,
} from './http_errors.js';
import {readRequestBody} from './read_request_body.js';

const PATH_PATTERN = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD']);
/** Headers for the gateway, which are not forwarded to the service. */
const GATEWAY_HEADERS_PATTERN = /^(authorization|briarpin-.*)$/;
const REPLY_GRACE_MILLISECONDS = 250;

interface PreparedCall {
  readonly service: string;
  readonly call: ServiceCall;
  readonly caller: CallerRequest;
  /**
   * True when a retry through another sidecar does no harm: the call is
   * idempotent, or its caller sent an Idempotency-Key.
   */
  readonly isRetryable: boolean;
}

/**
 * Handles a call of a plain service.
 *
 * @param request - The caller's request
 * @param response - HTTP response to write to
 * @param organisation - Organisation that sent the request
 * @param dependencies - Objects that the handlers share
 */
export async function handleServiceCall(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  organisation: string,
  dependencies: GatewayDependencies,
): Promise<void> {
  const match = PATH_PATTERN.exec(request.url ?? '');
  const service = decodeSafely(match?.[1] ?? '');
  if (!dependencies.accessDirectory.isPlainService(service)) {
    const message = `there is no service ${JSON.stringify(service)}`;
    const remedy = 'use the name of a configured service';
    sendHttpError(
      response,
      createRequestError(404, 'unknown_service', message, remedy),
    );
    return;
  }
  const body = await readRequestBody(
    request,
    dependencies.maximumBodyBytes,
    dependencies.context.gracePeriod,
  );
  const caller = readCallerRequest(
    request,
    organisation,
    service,
    dependencies.context,
  );
  const key = readIdentifier(request, 'idempotency-key');
  if (body.isErr || caller.isErr || key === undefined) {
    const error = body.isErr
      ? body.error
      : caller.isErr
        ? caller.error
        : createHeaderError('Idempotency-Key', IDENTIFIER_REMEDY);
    sendHttpError(response, error);
    return;
  }
  const path = `${match?.[2] ?? '/'}${match?.[3] ?? ''}`;
  const prepared = prepareCall(
    request,
    {service, path, idempotencyKey: key, body: body.value},
    caller.value,
  );
  response.setHeader('Briarpin-Request-Id', caller.value.requestId);
  const startedAt = dependencies.context.clock.now();
  const reply = await runAttempts(prepared, dependencies);
  sendReply(response, reply);
  logCall(prepared, reply, startedAt, dependencies);
}

interface CallTarget {
  readonly service: string;
  readonly path: string;
  readonly idempotencyKey: string;
  readonly body: Buffer;
}

function prepareCall(
  request: http.IncomingMessage,
  target: CallTarget,
  caller: CallerRequest,
): PreparedCall {
  const {service, path, idempotencyKey: key, body} = target;
  const {organisation, policy} = caller;
  const method = request.method ?? 'GET';
  const idempotent =
    IDEMPOTENT_METHODS.has(method) ||
    policy.idempotentRoutes.some(route => matchesRoute(route, method, path));
  const call: ServiceCall = {
    attemptId: '',
    organisation,
    service,
    method,
    path,
    headers: selectForwardedHeaders(request.headers).filter(
      ({name}) => !GATEWAY_HEADERS_PATTERN.test(name),
    ),
    body,
    deadlineMilliseconds: 0,
    idempotent,
    claimKey: idempotent ? '' : computeFingerprint(organisation, service, key),
    bodyFingerprint: computeFingerprint(organisation, method, path, body),
    configurationVersion: 0,
    requestClass: toMessageClass(caller.requestClass),
  };
  const hasCallerKey = request.headers['idempotency-key'] !== undefined;
  return {service, call, caller, isRetryable: idempotent || hasCallerKey};
}

/** Matches whole path segments, so that `/a` does not match `/ab`. */
function matchesRoute(route: string, method: string, path: string): boolean {
  const prefix = `${method} ${path.split('?')[0]}`;
  return prefix === route || prefix.startsWith(`${route.replace(/\/$/, '')}/`);
}

async function runAttempts(
  prepared: PreparedCall,
  dependencies: GatewayDependencies,
): Promise<ServiceReply> {
  const {context, limits} = dependencies;
  const {caller} = prepared;
  const triedInstances = new Set<string>();
  let isCertainlyNotRun = true;
  let lastFailure: Failure | undefined;
  limits.retryBudget.recordFirstAttempt();
  for (;;) {
    const endpoint = chooseServiceEndpoint(
      prepared,
      triedInstances,
      dependencies,
    );
    if (endpoint === undefined) {
      const failure = lastFailure ?? createFailure(FailureKind.NO_ENDPOINT);
      return toFailedReply(failure, isCertainlyNotRun);
    }
    triedInstances.add(endpoint.member.instance);
    const reply = await runAttempt(prepared, endpoint, dependencies);
    if (reply.body?.$case === 'answer') {
      return reply;
    }
    lastFailure =
      reply.body?.failure ?? createFailure(FailureKind.ENDPOINT_DIED);
    isCertainlyNotRun &&= lastFailure.outcome === Outcome.NOT_RUN;
    const isFinal =
      lastFailure.kind === FailureKind.CLAIMED_ELSEWHERE ||
      lastFailure.kind === FailureKind.INVALID_REQUEST;
    // The claim prevents a second attempt from running a call that the first
    // one has run.
    const mayRetry = decideRetry({
      notRun: lastFailure.outcome === Outcome.NOT_RUN,
      idempotent: prepared.isRetryable,
      delivered: false,
      remainingMilliseconds: caller.deadline - context.clock.now(),
      untriedEndpoints: 1,
    });
    const isAllowed =
      mayRetry &&
      prepared.isRetryable &&
      !isFinal &&
      !context.gracePeriod.areAnswersDue;
    if (!isAllowed || !limits.retryBudget.tryAcquire()) {
      return toFailedReply(lastFailure, isCertainlyNotRun);
    }
  }
}

function chooseServiceEndpoint(
  prepared: PreparedCall,
  triedInstances: ReadonlySet<string>,
  dependencies: GatewayDependencies,
): Endpoint | undefined {
  const {context, endpointDirectory, limits} = dependencies;
  const candidates = endpointDirectory.listCandidates({
    service: prepared.service,
    requestClass: prepared.caller.requestClass,
    triedInstances,
  });
  const now = context.clock.now();
  const chosen = chooseEndpoint(candidates, {
    random: context.random,
    otherRegionsAllowed: limits.crossRegionBudget.hasRemaining(now),
    millisecondsPerPromptToken: 0,
  });
  return chosen && endpointDirectory.find(chosen.instance);
}

function runAttempt(
  prepared: PreparedCall,
  endpoint: Endpoint,
  dependencies: GatewayDependencies,
): Promise<ServiceReply> {
  const {context} = dependencies;
  const remaining = prepared.caller.deadline - context.clock.now();
  const message: ServiceCall = {
    ...prepared.call,
    attemptId: randomUUID(),
    deadlineMilliseconds: Math.max(0, Math.round(remaining)),
    configurationVersion: context.replica.table.version,
  };
  const deadline = Date.now() + remaining + REPLY_GRACE_MILLISECONDS;
  endpoint.sentSinceReport += 1;
  endpoint.openRequests += 1;
  return new Promise(resolve => {
    const call = endpoint.client.callService(
      message,
      new Metadata(),
      {deadline},
      (error, reply) => {
        endpoint.openRequests -= 1;
        forgetCall();
        resolve(
          error === null && reply !== undefined
            ? reply
            : toFailedReply(createFailure(FailureKind.ENDPOINT_DIED), false),
        );
      },
    );
    const forgetCall = context.gracePeriod.onAnswersDue(() => call.cancel());
  });
}

function toFailedReply(
  failure: Failure,
  isCertainlyNotRun: boolean,
): ServiceReply {
  const outcome = isCertainlyNotRun ? Outcome.NOT_RUN : Outcome.UNKNOWN;
  return {body: {$case: 'failure', failure: {...failure, outcome}}};
}

function sendReply(response: http.ServerResponse, reply: ServiceReply): void {
  if (reply.body?.$case === 'answer') {
    sendAnswer(response, reply.body.answer);
  } else {
    const failure =
      reply.body?.failure ?? createFailure(FailureKind.ENDPOINT_DIED);
    sendHttpError(response, toHttpError(failure));
  }
}

function sendAnswer(
  response: http.ServerResponse,
  answer: ServiceAnswer,
): void {
  for (const {name, value} of answer.headers) {
    response.setHeader(name, value);
  }
  response.setHeader('Briarpin-Outcome', 'done');
  if (answer.replayed) {
    response.setHeader('Briarpin-Replayed', 'true');
  }
  response.statusCode = answer.status;
  response.end(answer.body);
}

function logCall(
  prepared: PreparedCall,
  reply: ServiceReply,
  startedAt: number,
  dependencies: GatewayDependencies,
): void {
  const {clock, histograms, logger} = dependencies.context;
  const {organisation, requestClass, requestId} = prepared.caller;
  const milliseconds = clock.now() - startedAt;
  histograms.record(
    'end_to_end_milliseconds',
    organisation,
    requestClass,
    milliseconds,
  );
  const failure =
    reply.body?.$case === 'failure' ? reply.body.failure : undefined;
  logger.info('service_call', {
    request: requestId,
    organisation,
    class: requestClass,
    service: prepared.service,
    method: prepared.call.method,
    idempotent: prepared.call.idempotent,
    outcome: failure === undefined ? 'done' : toOutcomeName(failure.outcome),
    failure: failure && FailureKind[failure.kind].toLowerCase(),
    milliseconds,
  });
}

function decodeSafely(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}
