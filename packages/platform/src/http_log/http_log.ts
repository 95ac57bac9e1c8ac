/**
 * Client for the platform's append-only log.
 */
import type {
  AppendOnlyLog,
  LogError,
  LogReadOptions,
} from '@briarpin/coordination';
import {validateLogPage, type LogPage} from '@briarpin/messages';
import {Result} from 'true-myth';

import {GuardedAgent} from '../guarded_agent/guarded_agent.js';
import {
  parseJson,
  sendHttp,
  type HttpRequestOptions,
} from '../send_http/send_http.js';

const CALL_TIMEOUT_MILLISECONDS = 2_000;
const STATUS_GONE = 410;

/** Append-only log that is accessed over HTTP. */
export class HttpLog implements AppendOnlyLog {
  private readonly agent = new GuardedAgent({keepAlive: true});

  /**
   * @param platformUrl - Base URL of the platform
   */
  constructor(private readonly platformUrl: string) {}

  async append(
    stream: string,
    value: unknown,
    signal?: AbortSignal,
  ): Promise<Result<number, LogError>> {
    const response = await sendHttp({
      ...this.createRequest(stream, 'POST', {}),
      body: JSON.stringify(value),
      headers: {'content-type': 'application/json'},
      signal,
    });
    if (response.isErr) {
      return Result.err(createUnavailableError(response.error.message));
    }
    const offset = readOffset(parseJson(response.value.body));
    return response.value.status === 200 && offset !== undefined
      ? Result.ok(offset)
      : Result.err(createUnavailableError(`status ${response.value.status}`));
  }

  async read(
    stream: string,
    from: number,
    options: LogReadOptions,
  ): Promise<Result<LogPage, LogError>> {
    const query = {
      from: String(from),
      waitMs: String(options.waitMilliseconds),
    };
    const request = this.createRequest(stream, 'GET', query);
    const response = await sendHttp({
      ...request,
      timeoutMilliseconds: options.waitMilliseconds + CALL_TIMEOUT_MILLISECONDS,
      signal: options.signal,
    });
    if (response.isErr) {
      return Result.err(createUnavailableError(response.error.message));
    }
    const body = parseJson(response.value.body);
    if (response.value.status === STATUS_GONE) {
      return Result.err(createTrimmedError(body));
    }
    return response.value.status === 200 && validateLogPage(body)
      ? Result.ok(body)
      : Result.err(createUnavailableError(`status ${response.value.status}`));
  }

  private createRequest(
    stream: string,
    method: string,
    query: Record<string, string>,
  ): HttpRequestOptions {
    const path = `/streams/${encodeURIComponent(stream)}/records`;
    const url = new URL(path, this.platformUrl);
    url.search = new URLSearchParams(query).toString();
    const {agent} = this;
    return {url, method, agent, timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS};
  }
}

function readOffset(body: unknown): number | undefined {
  const offset = (body as {offset?: unknown} | undefined)?.offset;
  return typeof offset === 'number' ? offset : undefined;
}

/** Creates the error of a read before the earliest retained offset. */
function createTrimmedError(body: unknown): LogError {
  const earliest = (body as {earliest?: unknown} | undefined)?.earliest;
  if (typeof earliest !== 'number') {
    return createUnavailableError('status 410 without the earliest offset');
  }
  const message = `records before offset ${earliest} have been trimmed`;
  return {kind: 'trimmed', earliest, message};
}

function createUnavailableError(message: string): LogError {
  return {kind: 'unavailable', message: `the log request failed: ${message}`};
}
