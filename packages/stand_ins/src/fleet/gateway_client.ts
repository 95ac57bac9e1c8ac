/**
 * HTTP client that calls a gateway as a caller does.
 */
import http from 'node:http';

import {createParser, type EventSourceMessage} from 'eventsource-parser';

/** Request for a completion. */
export interface CompletionRequest {
  /** Base URL of the gateway. */
  readonly gateway: string;
  /** API key of the organisation. */
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly stream?: boolean;
  readonly maximumTokens?: number;
  readonly requestClass?: string;
  readonly deadlineMilliseconds?: number;
  readonly lastEventId?: string;
  /** Called with each event of a stream. */
  readonly onEvent?: (event: EventSourceMessage) => void;
  readonly signal?: AbortSignal;
}

/** Response that a caller received. */
export interface GatewayResponse {
  /** HTTP status; 0 when the connection failed before a response. */
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  /** Generated text, or the body of a response without completions. */
  readonly text: string;
  /** Identifiers of the events, in order. */
  readonly eventIds: readonly string[];
  /**
   * True when the response is marked as complete: by the event `[DONE]` of a
   * stream, otherwise by status 200 and a whole body.
   */
  readonly complete: boolean;
  /** Error in the response. */
  readonly error?: {
    readonly type: string;
    readonly outcome: string;
    readonly message: string;
    readonly remedy: string;
  };
}

/**
 * Requests a completion from a gateway.
 *
 * @param completion - Request to send
 * @returns Response, also when the connection fails
 */
export async function requestCompletion(
  completion: CompletionRequest,
): Promise<GatewayResponse> {
  const body = JSON.stringify({
    model: completion.model,
    prompt: completion.prompt,
    stream: completion.stream,
    max_tokens: completion.maximumTokens,
  });
  const headers: http.OutgoingHttpHeaders = {
    authorization: `Bearer ${completion.key}`,
    'content-type': 'application/json',
  };
  if (completion.requestClass !== undefined) {
    headers['briarpin-class'] = completion.requestClass;
  }
  if (completion.deadlineMilliseconds !== undefined) {
    headers['briarpin-deadline-ms'] = completion.deadlineMilliseconds;
  }
  if (completion.lastEventId !== undefined) {
    headers['last-event-id'] = completion.lastEventId;
  }
  const url = new URL('/v1/completions', completion.gateway);
  const {signal} = completion;
  return send(url, {method: 'POST', headers, signal}, body, completion.onEvent);
}

/** Call of a plain service. */
export interface ServiceRequest {
  /** Base URL of the gateway. */
  readonly gateway: string;
  /** API key of the organisation. */
  readonly key: string;
  readonly method: string;
  readonly path: string;
  readonly body?: unknown;
  readonly idempotencyKey?: string;
  readonly deadlineMilliseconds?: number;
}

/**
 * Calls a plain service through a gateway.
 *
 * @param call - Call to send
 * @returns Response, also when the connection fails; `text` is the body
 */
export async function callService(
  call: ServiceRequest,
): Promise<GatewayResponse> {
  const headers: http.OutgoingHttpHeaders = {
    authorization: `Bearer ${call.key}`,
  };
  if (call.idempotencyKey !== undefined) {
    headers['idempotency-key'] = call.idempotencyKey;
  }
  if (call.deadlineMilliseconds !== undefined) {
    headers['briarpin-deadline-ms'] = call.deadlineMilliseconds;
  }
  const body = call.body === undefined ? undefined : JSON.stringify(call.body);
  const url = new URL(call.path, call.gateway);
  return send(url, {method: call.method, headers}, body);
}

function send(
  url: URL,
  options: http.RequestOptions,
  body: string | undefined,
  onEvent?: (event: EventSourceMessage) => void,
): Promise<GatewayResponse> {
  return new Promise(resolve => {
    const reader = new ResponseReader(onEvent);
    const request = http.request(url, {...options, agent: false});
    request.on('error', () => resolve(reader.toResponse(false)));
    request.on('response', response => {
      reader.handleHead(response);
      response.setEncoding('utf8');
      response.on('data', (text: string) => reader.appendChunk(text));
      response.on('error', () => resolve(reader.toResponse(false)));
      response.on('close', () => resolve(reader.toResponse(response.complete)));
    });
    request.end(body);
  });
}

interface ErrorBody {
  readonly error?: GatewayResponse['error'];
}

/** Collects a response body, JSON or an event stream. */
class ResponseReader {
  private response: http.IncomingMessage | undefined;
  private rawBody = '';
  private text = '';
  private readonly eventIds: string[] = [];
  private hasLastEvent = false;
  private error: GatewayResponse['error'];
  private readonly parser;

  constructor(onEvent?: (event: EventSourceMessage) => void) {
    this.parser = createParser({
      onEvent: event => {
        this.recordEvent(event);
        onEvent?.(event);
      },
    });
  }

  handleHead(response: http.IncomingMessage): void {
    this.response = response;
  }

  appendChunk(text: string): void {
    if (this.isStream) {
      this.parser.feed(text);
    } else {
      this.rawBody += text;
    }
  }

  toResponse(isBodyComplete: boolean): GatewayResponse {
    const status = this.response?.statusCode ?? 0;
    const headers = this.response?.headers ?? {};
    const {eventIds} = this;
    if (this.isStream) {
      const complete = this.hasLastEvent;
      return {
        status,
        headers,
        text: this.text,
        eventIds,
        complete,
        error: this.error,
      };
    }
    const {error} = parseObject(this.rawBody) as ErrorBody;
    const complete = isBodyComplete && status === 200;
    return {
      status,
      headers,
      text: this.extractText(),
      eventIds,
      complete,
      error,
    };
  }

  private get isStream(): boolean {
    const type = this.response?.headers['content-type'];
    return type === 'text/event-stream';
  }

  private extractText(): string {
    const body = parseObject(this.rawBody) as {choices?: {text: string}[]};
    return body.choices?.[0]?.text ?? this.rawBody;
  }

  private recordEvent(event: EventSourceMessage): void {
    if (event.data === '[DONE]') {
      this.hasLastEvent = true;
      return;
    }
    const data = parseObject(event.data) as ErrorBody & {
      choices?: {text: string}[];
    };
    if (event.event === 'error') {
      this.error = data.error;
      return;
    }
    if (event.id !== undefined) {
      this.eventIds.push(event.id);
    }
    this.text += data.choices?.[0]?.text ?? '';
  }
}

function parseObject(text: string): object {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? value : {};
  } catch {
    return {};
  }
}

/**
 * Returns the text that an engine stand-in generates for the prompt
 * `len=<length> seed=<seed>`.
 */
export function expectedText(length: number, seed: number | string): string {
  const tokens = Array.from({length}, (_, index) => `w${seed}-${index} `);
  return tokens.join('');
}
