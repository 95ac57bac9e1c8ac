/**
 * Writer of completion responses, streamed or buffered.
 */
import type http from 'node:http';

import {formatErrorBody, sendHttpError, type HttpError} from './http_errors.js';

const LAST_EVENT = 'data: [DONE]\n\n';

/**
 * Writes one completion response.
 *
 * A stream that fails after its first token ends with `event: error` and
 * without the `[DONE]` event, so that a client does not treat it as complete.
 */
export class CompletionWriter {
  private bufferedTexts: string[] = [];
  private hasStartedStream = false;

  /**
   * @param response - HTTP response to write to
   * @param requestId - Identifier of the request
   * @param isStream - True for server-sent events, false for one JSON body
   */
  constructor(
    private readonly response: http.ServerResponse,
    private readonly requestId: string,
    private readonly isStream: boolean,
  ) {
    response.setHeader('Briarpin-Request-Id', requestId);
  }

  /**
   * Writes tokens to the stream, or buffers them for a JSON body.
   *
   * Resolves when the response accepts more data, which applies backpressure
   * while the caller reads slowly.
   *
   * @param generationId - Generation that produced the tokens
   * @param firstIndex - Index of the first token in the generation
   * @param texts - Texts of the tokens
   */
  async writeTokens(
    generationId: string,
    firstIndex: number,
    texts: readonly string[],
  ): Promise<void> {
    if (!this.isStream) {
      this.bufferedTexts.push(...texts);
      return;
    }
    this.startStream();
    const events = texts.map((text, offset) => {
      const data = this.formatChoice(text, null);
      return `id: ${generationId}:${firstIndex + offset}\ndata: ${data}\n\n`;
    });
    if (!this.response.write(events.join('')) && !this.response.destroyed) {
      await waitForDrain(this.response);
    }
  }

  /** Ends a response that has received all tokens. */
  complete(finishReason: string): void {
    const {response} = this;
    if (this.isStream) {
      this.startStream();
      response.write(`data: ${this.formatChoice('', finishReason)}\n\n`);
      response.addTrailers({'Briarpin-Outcome': 'done'});
      response.end(LAST_EVENT);
      return;
    }
    response.setHeader('Briarpin-Outcome', 'done');
    response.setHeader('Content-Type', 'application/json');
    response.end(this.formatChoice(this.bufferedTexts.join(''), finishReason));
  }

  /**
   * Ends a response whose generation failed.
   *
   * Sends a plain error response when the stream has not started.
   */
  fail(error: HttpError): void {
    if (!this.hasStartedStream) {
      sendHttpError(this.response, error);
      return;
    }
    this.response.addTrailers({'Briarpin-Outcome': error.outcome});
    this.response.end(`event: error\ndata: ${formatErrorBody(error)}\n\n`);
  }

  private startStream(): void {
    if (this.hasStartedStream) {
      return;
    }
    this.hasStartedStream = true;
    this.response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Cache-Control': 'no-store',
      Trailer: 'Briarpin-Outcome',
    });
  }

  private formatChoice(text: string, finishReason: string | null): string {
    return JSON.stringify({
      id: this.requestId,
      choices: [{text, index: 0, finish_reason: finishReason}],
    });
  }
}

function waitForDrain(response: http.ServerResponse): Promise<void> {
  return new Promise(resolve => {
    const settle = () => {
      response.off('drain', settle);
      response.off('close', settle);
      resolve();
    };
    response.on('drain', settle);
    response.on('close', settle);
  });
}
