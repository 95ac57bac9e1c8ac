/**
 * Client of the HTTP protocol of model engines.
 */
import http from 'node:http';

import {
  validateEngineLoad,
  validateEngineTokenEvent,
  type EngineLoad,
  type EngineOrder,
  type EngineTokenEvent,
} from '@briarpin/messages';
import {createParser} from 'eventsource-parser';
import {Result} from 'true-myth';

import {Channel} from '../concurrency/channel.js';
import {
  GuardedAgent,
  parseJson,
  readBody,
  sendHttp,
  trackResponseHead,
  type HttpResponse,
  type HttpRequestError,
} from '@briarpin/platform';

const CALL_TIMEOUT_MILLISECONDS = 2_000;
const MAXIMUM_BUFFERED_CHUNKS = 4;
/** Longest event, or body of an error response, that is collected. */
const MAXIMUM_EVENT_CHARACTERS = 1_048_576;
const END_OF_STREAM = '[DONE]';

/** A generation to start on the engine. */
export interface EngineRequest {
  readonly requestId: string;
  readonly model: string;
  readonly prompt: string;
  readonly maximumTokens?: number;
  /** The engine preempts smaller values first when its memory is full. */
  readonly priority: number;
}

/** How a stream of an engine ended. */
export type EngineStreamEnd =
  | {readonly kind: 'finished'; readonly finishReason: string}
  /** The connection failed before the last event. */
  | {readonly kind: 'broken'; readonly message: string}
  /** The engine responded with an error and did not run the request. */
  | {readonly kind: 'refused'; readonly status: number}
  /** No connection was established; the engine did not receive the request. */
  | {readonly kind: 'not_sent'; readonly message: string};

/** A token stream; each value of the channel is the events of one chunk. */
export interface EngineStream {
  readonly chunks: Channel<readonly EngineTokenEvent[]>;
  readonly end: Promise<EngineStreamEnd>;
}

/** Sends requests to one engine. */
export class EngineClient {
  private readonly agent = new GuardedAgent({keepAlive: true});

  /**
   * @param engineUrl - Base URL of the engine
   */
  constructor(private readonly engineUrl: string) {}

  /**
   * Starts a generation.
   *
   * @param request - The generation
   * @param signal - Aborts the stream
   * @returns Stream of its tokens
   */
  start(request: EngineRequest, signal: AbortSignal): EngineStream {
    const body = JSON.stringify({
      request_id: request.requestId,
      model: request.model,
      prompt: request.prompt,
      max_tokens: request.maximumTokens,
      priority: request.priority,
      stream: true,
    });
    return this.openStream('POST', '/v1/completions', signal, body);
  }

  /**
   * Continues a generation.
   *
   * @param requestId - Identifier of the request that started it
   * @param fromIndex - Index of the first requested token
   * @param signal - Aborts the stream
   * @returns Stream of its tokens; ends as `refused` when the engine does not
   *     have the generation
   */
  resume(
    requestId: string,
    fromIndex: number,
    signal: AbortSignal,
  ): EngineStream {
    const id = encodeURIComponent(requestId);
    const path = `/v1/generations/${id}?from=${fromIndex}`;
    return this.openStream('GET', path, signal);
  }

  /** Cancels a generation; has no effect when the engine does not have it. */
  async cancel(requestId: string): Promise<void> {
    const id = encodeURIComponent(requestId);
    await this.send('DELETE', `/v1/generations/${id}`);
  }

  /**
   * Reads the load report.
   *
   * @returns The report; on failure, whether no connection was established
   *     (`not_sent`) or only the response is missing or invalid (`unknown`)
   */
  async readLoad(): Promise<Result<EngineLoad, HttpRequestError>> {
    const response = await this.send('GET', '/load');
    return response.andThen(({body, status}) => {
      const load = parseJson(body);
      return validateEngineLoad(load)
        ? Result.ok(load)
        : Result.err<EngineLoad, HttpRequestError>({
            kind: 'unknown',
            message: `a broken load report with status ${status}`,
          });
    });
  }

  /** Sends an order to load or unload a model. */
  sendOrder(
    order: EngineOrder,
  ): Promise<Result<HttpResponse, HttpRequestError>> {
    return this.send('POST', '/orders', JSON.stringify(order));
  }

  private send(
    method: string,
    path: string,
    body?: string,
  ): Promise<Result<HttpResponse, HttpRequestError>> {
    return sendHttp({
      url: new URL(path, this.engineUrl),
      method,
      body,
      headers: {'content-type': 'application/json'},
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
      agent: this.agent,
    });
  }

  private openStream(
    method: string,
    path: string,
    signal: AbortSignal,
    body?: string,
  ): EngineStream {
    const chunks = new Channel<readonly EngineTokenEvent[]>(
      MAXIMUM_BUFFERED_CHUNKS,
    );
    const end = new Promise<EngineStreamEnd>(resolve => {
      let isConnected = false;
      const fail = (error: Error) =>
        resolve({
          kind: isConnected ? 'broken' : 'not_sent',
          message: error.message,
        });
      const request = http.request(new URL(path, this.engineUrl), {
        method,
        agent: this.agent,
        signal,
        headers: {'content-type': 'application/json'},
      });
      const head = trackResponseHead(request);
      request.on('socket', socket => {
        isConnected = !socket.connecting;
        socket.once('connect', () => (isConnected = true));
      });
      request.on('error', fail);
      let hasResponse = false;
      // An exchange may end with neither, as after an unexpected upgrade.
      request.on('close', () => {
        if (!hasResponse) {
          fail(new Error('the exchange ended without a response'));
        }
      });
      request.on('response', response => {
        hasResponse = true;
        if (head.fault !== undefined) {
          fail(new Error(head.fault));
          request.destroy();
          return;
        }
        readStream(response, chunks).then(resolve, fail);
      });
      request.end(body);
    });
    return {chunks, end: end.finally(() => chunks.close())};
  }
}

async function readStream(
  response: http.IncomingMessage,
  chunks: Channel<readonly EngineTokenEvent[]>,
): Promise<EngineStreamEnd> {
  if (response.statusCode !== 200) {
    await readBody(response, MAXIMUM_EVENT_CHARACTERS);
    return {kind: 'refused', status: response.statusCode ?? 0};
  }
  let pendingEvents: EngineTokenEvent[] = [];
  let finishReason: string | undefined;
  let isComplete = false;
  const parser = createParser({
    onEvent: ({data}) => {
      if (data === END_OF_STREAM) {
        isComplete = true;
        return;
      }
      const event = parseJson(data);
      if (validateEngineTokenEvent(event)) {
        finishReason = event.finish_reason ?? finishReason;
        pendingEvents.push(event);
      }
    },
    maxBufferSize: MAXIMUM_EVENT_CHARACTERS,
  });
  response.setEncoding('utf8');
  for await (const text of response) {
    parser.feed(text as string);
    const events = pendingEvents;
    pendingEvents = [];
    if (events.length > 0) {
      await chunks.send(events);
    }
  }
  return isComplete
    ? {kind: 'finished', finishReason: finishReason ?? 'stop'}
    : {kind: 'broken', message: 'the stream ended before its last event'};
}
