/**
 * Stand-in for a plain service.
 */
import type http from 'node:http';

import {
  readJson,
  sendJson,
  startServer,
  type ListeningServer,
} from '../http/json_server.js';

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
  | {readonly kind: 'lose_answers'; readonly count: number};

/** Plain service that records every call in a ledger and echoes its body. */
export class PlainServiceStandIn {
  private listening: ListeningServer | undefined;
  private delayMilliseconds = 0;
  private responsesToDrop = 0;
  readonly ledger: ServiceLedgerEntry[] = [];

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
    } else {
      this.responsesToDrop = fault.count;
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
    sendJson(response, 200, {number, path, echo: body ?? null});
  }
}
