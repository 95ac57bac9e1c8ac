/**
 * Handler of POST /v1/completions.
 */
import type http from 'node:http';

import {computeFingerprint} from '@briarpin/coordination';
import {
  describeViolations,
  FailureKind,
  validateCompletionRequest,
  type CompletionRequest,
  type Failure,
} from '@briarpin/messages';
import {Result} from 'true-myth';

import {runTask} from '@briarpin/telemetry';
import {parseJson} from '@briarpin/platform';
import {createFailure} from '../shared/failures.js';
import {
  createHeaderError,
  readCallerRequest,
  type CallerRequest,
} from './caller_request.js';
import {CompletionWriter} from './completion_writer.js';
import type {GatewayDependencies} from './gateway_dependencies.js';
import {GenerationSession, type SessionRequest} from './generation_session.js';
import {
  createRequestError,
  sendHttpError,
  toHttpError,
  toOutcomeName,
  type HttpError,
} from './http_errors.js';
import {readRequestBody} from './read_request_body.js';

const EVENT_ID_PATTERN = /^([^:\s]+~[^:\s]+):(\d+)$/;

/** Last event of a generation that a caller has received. */
interface EventPosition {
  readonly generationId: string;
  readonly index: number;
}

/**
 * Handles a completion request; resumes a generation when the request has a
 * Last-Event-ID header.
 *
 * @param request - The caller's request
 * @param response - HTTP response to write to
 * @param organisation - Organisation that sent the request
 * @param dependencies - Objects that the handlers share
 */
export async function handleCompletion(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  organisation: string,
  dependencies: GatewayDependencies,
): Promise<void> {
  const body = await readRequestBody(
    request,
    dependencies.maximumBodyBytes,
    dependencies.context.gracePeriod,
  );
  const completion = body.andThen(parseCompletion);
  if (completion.isErr) {
    sendHttpError(response, completion.error);
    return;
  }
  const {model, stream = false} = completion.value;
  const service = dependencies.accessDirectory.findModelService(model);
  if (service === undefined) {
    sendHttpError(response, createUnknownModelError(model));
    return;
  }
  const caller = readCallerRequest(
    request,
    organisation,
    service,
    dependencies.context,
  );
  if (caller.isErr) {
    sendHttpError(response, caller.error);
    return;
  }
  const position = readPosition(request);
  if (position.isErr) {
    sendHttpError(response, position.error);
    return;
  }
  const sessionRequest = createSessionRequest(
    completion.value,
    caller.value,
    service,
  );
  const writer = new CompletionWriter(response, caller.value.requestId, stream);
  await serveSession(
    sessionRequest,
    caller.value,
    position.value,
    writer,
    response,
    dependencies,
  );
}

async function serveSession(
  sessionRequest: SessionRequest,
  caller: CallerRequest,
  position: EventPosition | undefined,
  writer: CompletionWriter,
  response: http.ServerResponse,
  dependencies: GatewayDependencies,
): Promise<void> {
  const {context, endpointDirectory, limits, prefixHints} = dependencies;
  limits.retryBudget.setRatio(caller.policy.retryBudgetRatio);
  limits.crossRegionBudget.setRate(caller.policy.crossRegionBytesPerSecond);
  const session = new GenerationSession(
    context,
    endpointDirectory,
    limits,
    prefixHints,
    sessionRequest,
  );
  response.once('close', () => {
    if (!response.writableFinished) {
      session.cancel();
    }
  });
  const forgetSession = context.gracePeriod.onAnswersDue(() => session.stop());
  const startedAt = context.clock.now();
  runTask('session', context.logger, () =>
    position === undefined
      ? session.run()
      : session.resume(position.generationId, position.index + 1),
  );
  const failure = await writeEvents(
    session,
    writer,
    startedAt,
    caller,
    dependencies,
  );
  forgetSession();
  const endedAt = context.clock.now();
  const {organisation, requestClass, requestId} = caller;
  context.histograms.record(
    'end_to_end_milliseconds',
    organisation,
    requestClass,
    endedAt - startedAt,
  );
  context.logger.info('completion', {
    request: requestId,
    organisation,
    class: requestClass,
    model: sessionRequest.model,
    outcome: failure === undefined ? 'done' : toOutcomeName(failure.outcome),
    failure: failure && FailureKind[failure.kind].toLowerCase(),
    attempts: session.attemptCount,
    dropped_events: session.droppedEventCount,
    milliseconds: endedAt - startedAt,
  });
}

async function writeEvents(
  session: GenerationSession,
  writer: CompletionWriter,
  startedAt: number,
  caller: CallerRequest,
  dependencies: GatewayDependencies,
): Promise<Failure | undefined> {
  const {clock, histograms} = dependencies.context;
  const {organisation, requestClass} = caller;
  let previousTime: number | undefined;
  for (;;) {
    const event = await session.events.receive();
    if (event === undefined) {
      return createFailure(FailureKind.REVOKED, {
        message: 'the caller has gone',
      });
    }
    if (event.kind === 'failed') {
      writer.fail(toHttpError(event.failure));
      return event.failure;
    }
    if (event.kind === 'finished') {
      writer.complete(event.finished.finishReason);
      return undefined;
    }
    const now = clock.now();
    const histogramName =
      previousTime === undefined
        ? 'first_token_milliseconds'
        : 'stall_milliseconds';
    const intervalStart = previousTime ?? startedAt;
    histograms.record(
      histogramName,
      organisation,
      requestClass,
      now - intervalStart,
    );
    previousTime = now;
    await writer.writeTokens(event.generationId, event.firstIndex, event.texts);
  }
}

function parseCompletion(body: Buffer): Result<CompletionRequest, HttpError> {
  const value = parseJson(body);
  if (value === undefined) {
    return Result.err(
      createRequestError(
        400,
        'bad_json',
        'the body is not JSON',
        'send one JSON object in UTF-8',
      ),
    );
  }
  if (validateCompletionRequest(value)) {
    return Result.ok(value);
  }
  const [first] = describeViolations(validateCompletionRequest.errors ?? []);
  const key = first?.key ?? '';
  const message = `${key === '' ? 'the body' : key}: found ${first?.found}`;
  return Result.err(
    createRequestError(400, 'bad_request', message, first?.remedy ?? ''),
  );
}

function createUnknownModelError(model: string): HttpError {
  return createRequestError(
    404,
    'unknown_model',
    `there is no model ${JSON.stringify(model)}`,
    'use the name of a configured model',
  );
}

function readPosition(
  request: http.IncomingMessage,
): Result<EventPosition | undefined, HttpError> {
  const value = request.headers['last-event-id'];
  if (value === undefined) {
    return Result.ok(undefined);
  }
  const match = typeof value === 'string' ? EVENT_ID_PATTERN.exec(value) : null;
  if (match === null) {
    const remedy = 'send the id of the last event that you received';
    return Result.err(createHeaderError('Last-Event-ID', remedy));
  }
  return Result.ok({generationId: match[1] ?? '', index: Number(match[2])});
}

function createSessionRequest(
  completion: CompletionRequest,
  caller: CallerRequest,
  service: string,
): SessionRequest {
  const {model, prompt, max_tokens: maximumTokens = 0} = completion;
  return {
    organisation: caller.organisation,
    requestClass: caller.requestClass,
    service,
    model,
    prompt,
    maximumTokens,
    deadline: caller.deadline,
    isBuffered: completion.stream !== true,
    fingerprint: computeFingerprint(
      caller.organisation,
      model,
      prompt,
      String(maximumTokens),
    ),
  };
}
