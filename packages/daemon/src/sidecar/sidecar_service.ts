/**
 * The gRPC service of a sidecar, which gateways call.
 */
import {
  FailureKind,
  Outcome,
  type ExchangeReply,
  type ExchangeRequest,
  type GenerateEvent,
  type GenerateRequest,
  type ResumeRequest,
  type SidecarServer,
} from '@briarpin/messages';
import type {ServerDuplexStream, ServerWritableStream} from '@grpc/grpc-js';

import {runTask} from '@briarpin/telemetry';
import {createFailure} from '../shared/failures.js';
import type {ProcessContext} from '../shared/process_context.js';
import type {ExchangeService} from './exchange_service.js';
import type {Generation, GenerationItem} from './generation.js';
import type {ModelRunner} from './model_runner.js';
import type {ServiceRunner} from './service_runner.js';

type EventCall = ServerWritableStream<
  GenerateRequest | ResumeRequest,
  GenerateEvent
>;

/** The runner of the endpoint; exactly one of the two is present. */
export interface Runners {
  readonly model?: ModelRunner;
  readonly service?: ServiceRunner;
}

/**
 * Creates the implementation of the service.
 *
 * @param context - Dependencies of the process
 * @param runners - The runner of the endpoint
 * @param exchange - Accepts the exchange streams of gateways
 * @returns The implementation to add to a server
 */
export function createSidecarService(
  context: ProcessContext,
  runners: Runners,
  exchange: ExchangeService,
): SidecarServer {
  const {model, service} = runners;
  const write = (call: EventCall, generation: Generation, from: number) =>
    runTask('write_generation', context.logger, () =>
      writeGeneration(call, generation, from, model as ModelRunner),
    );
  return {
    generate: call => {
      if (model === undefined) {
        rejectGeneration(call, call.request.attemptId);
        return;
      }
      write(call, model.submit(call.request), 0);
    },
    resume: call => {
      const {attemptId, fromIndex} = call.request;
      if (model === undefined) {
        rejectGeneration(call, attemptId);
        return;
      }
      write(call, model.resume(attemptId, fromIndex), fromIndex);
    },
    revoke: (call, callback) => {
      const {attemptId, ageMilliseconds} = call.request;
      const outcome =
        model?.revoke(attemptId, ageMilliseconds) ?? service?.revoke(attemptId);
      callback(null, {outcome: outcome ?? Outcome.UNKNOWN});
    },
    callService: (call, callback) => {
      if (service === undefined) {
        const failure = createFailure(FailureKind.MODEL_NOT_LOADED);
        callback(null, {body: {$case: 'failure', failure}});
        return;
      }
      service.call(call.request).then(
        reply => callback(null, reply),
        (error: unknown) => callback(error as Error),
      );
    },
    exchange: (call: ServerDuplexStream<ExchangeRequest, ExchangeReply>) =>
      exchange.accept(call),
  };
}

function rejectGeneration(call: EventCall, attemptId: string): void {
  const failure = createFailure(FailureKind.MODEL_NOT_LOADED);
  call.write({attemptId, body: {$case: 'failure', failure}});
  call.end();
}

async function writeGeneration(
  call: EventCall,
  generation: Generation,
  fromIndex: number,
  runner: ModelRunner,
): Promise<void> {
  const reader = generation.attach();
  call.on('cancelled', () => runner.detachReader(generation, reader));
  call.on('error', () => runner.detachReader(generation, reader));
  let index = fromIndex;
  for (;;) {
    const item = await generation.read(reader, index);
    if (item.kind === 'superseded') {
      call.end();
      return;
    }
    const event = toEvent(generation.attemptId, item);
    const hasRoom = call.write(event);
    if (item.kind !== 'tokens') {
      call.end();
      return;
    }
    index += item.texts.length;
    if (!hasRoom) {
      await waitForDrain(call);
    }
  }
}

function waitForDrain(call: EventCall): Promise<void> {
  return new Promise(resolve => {
    const stopWaiting = () => {
      call.off('drain', stopWaiting);
      call.off('cancelled', stopWaiting);
      call.off('error', stopWaiting);
      resolve();
    };
    call.on('drain', stopWaiting);
    call.on('cancelled', stopWaiting);
    call.on('error', stopWaiting);
  });
}

function toEvent(
  attemptId: string,
  item: Exclude<GenerationItem, {kind: 'superseded'}>,
): GenerateEvent {
  if (item.kind === 'tokens') {
    const {firstIndex, texts} = item;
    return {attemptId, body: {$case: 'tokens', tokens: {firstIndex, texts}}};
  }
  if (item.kind === 'behind') {
    const failure = createFailure(FailureKind.GENERATION_LOST);
    return {attemptId, body: {$case: 'failure', failure}};
  }
  const {end} = item;
  return end.kind === 'finished'
    ? {attemptId, body: {$case: 'finished', finished: end.finished}}
    : {attemptId, body: {$case: 'failure', failure: end.failure}};
}
