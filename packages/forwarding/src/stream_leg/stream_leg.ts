/**
 * One endpoint's part of a stream.
 */
import type {IncomingMessage} from 'node:http';

import type {EndpointEntry} from '@briarpin/coordination';

import {
  EventSplitter,
  type WholeEvent,
} from '../event_splitter/event_splitter.js';

/** How an endpoint's part of a stream ended. */
export type LegEnd =
  /** The stream is complete; bytes after the last blank line included. */
  | {readonly kind: 'complete'; readonly remainder: Buffer}
  /** The endpoint broke it off, or it was given up here. */
  | {readonly kind: 'broken'; readonly reason: string}
  /** Nothing came for too long. */
  | {readonly kind: 'silent'};

/** Options of {@link StreamLeg}. */
export interface StreamLegOptions {
  readonly endpoint: EndpointEntry;
  readonly response: IncomingMessage;
  /** True once the whole body has come; asked when it has ended. */
  readonly isWhole: () => boolean;
  /** Ends the connection to the endpoint. */
  readonly abort: () => void;
  /** Endpoint that keeps a checkpoint of this run. */
  readonly checkpointHolder?: EndpointEntry;
  /** Work that is counted at the endpoint, until it is released. */
  readonly release: () => void;
  /** Pause after which it counts as silent; absent for never. */
  readonly silenceMilliseconds?: number;
  /**
   * Takes an event.
   *
   * @returns A promise when the reader must wait before the next one
   */
  readonly onEvent: (event: WholeEvent) => Promise<void> | undefined;
}

/** Reads events from one endpoint until its part is over. */
export class StreamLeg {
  readonly endpoint: EndpointEntry;
  readonly checkpointHolder?: EndpointEntry;
  private readonly splitter = new EventSplitter();
  private silence: NodeJS.Timeout | undefined;
  private end: ((end: LegEnd) => void) | undefined;
  private isStopped = false;

  /**
   * @param options - Where it comes from and who takes its events
   */
  constructor(private readonly options: StreamLegOptions) {
    this.endpoint = options.endpoint;
    this.checkpointHolder = options.checkpointHolder;
  }

  /**
   * Reads until the stream ends, in whatever way.
   *
   * @returns How it ended
   */
  run(): Promise<LegEnd> {
    const {response} = this.options;
    return new Promise(resolve => {
      this.end = end => {
        this.end = undefined;
        clearTimeout(this.silence);
        this.options.release();
        resolve(end);
      };
      response.on('data', (chunk: Buffer) => this.take(chunk));
      response.on('end', () => {
        this.end?.(
          this.options.isWhole()
            ? {kind: 'complete', remainder: this.splitter.remainder}
            : {kind: 'broken', reason: 'the stream broke off'},
        );
      });
      response.on('error', error =>
        this.end?.({kind: 'broken', reason: error.message}),
      );
      response.on('close', () =>
        this.end?.({kind: 'broken', reason: 'the connection closed'}),
      );
    });
  }

  /** Takes no more events and ends the connection. */
  stop(reason: string): void {
    this.isStopped = true;
    this.end?.({kind: 'broken', reason});
    this.options.abort();
  }

  private take(chunk: Buffer): void {
    if (this.isStopped) {
      return;
    }
    this.watchSilence();
    for (const event of this.splitter.push(chunk)) {
      const wait = this.options.onEvent(event);
      if (wait !== undefined) {
        const {response} = this.options;
        response.pause();
        void wait.then(() => response.resume());
      }
    }
  }

  private watchSilence(): void {
    const {silenceMilliseconds} = this.options;
    if (silenceMilliseconds === undefined) {
      return;
    }
    if (this.silence !== undefined) {
      this.silence.refresh();
      return;
    }
    this.silence = setTimeout(() => {
      this.isStopped = true;
      this.end?.({kind: 'silent'});
      this.options.abort();
    }, silenceMilliseconds);
  }
}
