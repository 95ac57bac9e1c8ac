/**
 * Stand-in for a plain service.
 */
import type http from 'node:http';

import type {BrokenAnswerCycle} from '../http/broken_answer_cycle.js';
import {
  readJson,
  sendJson,
  startServer,
  type ListeningServer,
} from '../http/json_server.js';

/** Time between the first bytes of a response and its reset. */
const RESET_DELAY_MILLISECONDS = 20;

/** Part of the paths of calls whose answers may be broken. */
export const BROKEN_PATH = '/broken-';

/** Call that ran. */
export interface ServiceLedgerEntry {
  readonly method: string;
  readonly path: string;
  readonly idempotencyKey?: string;
  readonly body: unknown;
  /** Unix time in milliseconds. */
  readonly startedAt: number;
}

/** Fault to inject into the stand-in. */
export type ServiceFault =
  /** Delays every response; 0 ends the delay. */
  | {readonly kind: 'slow'; readonly milliseconds: number}
  /** Runs the next calls and drops their responses. */
  | {readonly kind: 'lose_answers'; readonly count: number}
  /** Sends the next responses without a length, and ends them as given. */
  | {
      readonly kind: 'omit_length';
      readonly count: number;
      readonly end: 'close' | 'reset';
    };

/** Plain service that records every call in a ledger and echoes its body. */
export class PlainServiceStandIn {
  private listening: ListeningServer | undefined;
  private delayMilliseconds = 0;
  private responsesToDrop = 0;
  private responsesWithoutLength = 0;
  private unframedEnd: 'close' | 'reset' = 'close';
  readonly ledger: ServiceLedgerEntry[] = [];
  /** Answers calls whose paths have {@link BROKEN_PATH}, while it is set. */
  brokenAnswers: BrokenAnswerCycle | undefined;

  /** Starts the server and returns its base URL. */
  async start(port = 0): Promise<string> {
    this.listening = await startServer(
      (request, response) => this.handle(request, response),
      port,
    );
    return this.listening.url;
  }

  /** Stops the server and closes its connections. */
  async stop(): Promise<void> {
    await this.listening?.close();
  }

  /** Injects a fault or ends it. */
  setFault(fault: ServiceFault): void {
    if (fault.kind === 'slow') {
      this.delayMilliseconds = fault.milliseconds;
    } else if (fault.kind === 'lose_answers') {
      this.responsesToDrop = fault.count;
    } else {
      this.responsesWithoutLength = fault.count;
      this.unframedEnd = fault.end;
    }
  }

  private async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const path = request.url ?? '';
    if (path === '/_ledger') {
      sendJson(response, 200, this.ledger);
      return;
    }
    const body = await readJson(request);
    if (path === '/_fault') {
      this.setFault(body as ServiceFault);
      sendJson(response, 200, {});
      return;
    }
    const key = request.headers['idempotency-key'];
    this.ledger.push({
      method: request.method ?? '',
      path,
      idempotencyKey: typeof key === 'string' ? key : undefined,
      body,
      startedAt: Date.now(),
    });
    const number = this.ledger.length;
    if (this.delayMilliseconds > 0) {
      await new Promise(resolve => setTimeout(resolve, this.delayMilliseconds));
    }
    if (this.responsesToDrop > 0) {
      this.responsesToDrop -= 1;
      response.destroy();
      return;
    }
    if (this.brokenAnswers !== undefined && path.includes(BROKEN_PATH)) {
      await this.brokenAnswers.answer(response);
      return;
    }
    const answer = {number, path, echo: body ?? null};
    if (this.responsesWithoutLength > 0) {
      this.responsesWithoutLength -= 1;
      this.sendWithoutLength(response, JSON.stringify(answer));
      return;
    }
    sendJson(response, 200, answer);
  }

  private sendWithoutLength(response: http.ServerResponse, text: string): void {
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, {'Content-Type': 'application/json'});
    if (this.unframedEnd === 'close') {
      response.end(text);
      return;
    }
    // The reader receives the last bytes and the reset together.
    response.write(text.slice(0, -2), () => {
      setTimeout(() => {
        response.socket?.write(text.slice(-2, -1));
        response.socket?.resetAndDestroy();
      }, RESET_DELAY_MILLISECONDS);
    });
  }
}
