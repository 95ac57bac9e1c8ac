/**
 * Interface between the gateway and the protocol of callers and endpoints.
 * Adapters implement it, so that the gateway does not depend on header names or
 * message formats.
 */
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';

/** Part of a prompt that several requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What the headers of a request state about it. */
export interface RequestMetadata {
  /** Identifies this attempt of the caller; absent if it sent none. */
  readonly requestId?: string;
  /** Time that the caller waits, from the arrival of the request. */
  readonly deadlineMilliseconds?: number;
  /**
   * The caller's attempt that received the first event of the stream that this
   * request takes up; absent when it starts a stream.
   */
  readonly resumedRequestId?: string;
  /** Newest event that the caller has of the stream that it takes up. */
  readonly lastEventId?: string;
  /** API key of an organisation. */
  readonly apiKey?: string;
  readonly promptTokens: number;
  /** Most tokens that may be generated; 0 if the caller sets no limit. */
  readonly maximumOutputTokens: number;
  /** The caller's estimate of the generated tokens, often far off. */
  readonly estimatedOutputTokens?: number;
  /** In prompt order; the last one is specific to the request or session. */
  readonly promptParts: readonly PromptPart[];
}

/** Where an engine loads the memory of an earlier run from. */
export interface MemorySource {
  readonly host: string;
  readonly port: number;
  /** Handle of a moved run, or the request identifier for a checkpoint. */
  readonly handle: string;
}

/** What the gateway states in the headers of an attempt. */
export interface AttemptMetadata {
  /** Identifier of the endpoint; any other endpoint rejects the attempt. */
  readonly endpointId: string;
  readonly remainingMilliseconds: number;
  /** Organisation of the caller; absent where no key is required. */
  readonly organisation?: string;
  /** Priority at the engine; 0 is the highest. */
  readonly priority?: number;
  /** Endpoint that stores a growing checkpoint of the run. */
  readonly checkpointTarget?: {readonly host: string; readonly port: number};
  /** Resumes after this event; without it the run starts from the beginning. */
  readonly lastEventId?: string;
  readonly memorySource?: MemorySource;
}

/** Load that an endpoint reports in a response. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * How long work takes at the endpoint at this moment, in percent of the usual
   * time; absent if it states none.
   */
  readonly pacePercent?: number;
}

/** What the headers of a response state about it. */
export interface ResponseMetadata {
  /** Identifier of the request that the response belongs to. */
  readonly requestId?: string;
  /** True when the response carries the endpoint's signature header. */
  readonly isSigned: boolean;
  /** True when the endpoint states that it did not run the request. */
  readonly isNotRun: boolean;
  readonly load?: ReportedLoad;
  /**
   * Requests per second that the endpoint accepts from all gateways together;
   * absent if it states no limit.
   */
  readonly requestsPerSecond?: number;
  /** True when the endpoint states that it shuts down. */
  readonly isLeaving: boolean;
  /**
   * Time for which the endpoint accepts no request from this gateway; absent if
   * it states none.
   */
  readonly pauseMilliseconds?: number;
}

/** State that an engine reports on request. */
export interface EngineReport {
  readonly running: number;
  readonly waiting: number;
  /** Memory that cannot be freed, in tokens. */
  readonly usedTokens: number;
  readonly memoryTokens: number;
  readonly isDraining: boolean;
  /** Time until the engine stops, if that is fixed. */
  readonly stopsInMilliseconds?: number;
}

/** Outcome of copying a run's memory to another engine. */
export type MoveOutcome =
  /** The copy covers the first `events` events. */
  | {
      readonly kind: 'copied';
      readonly handle: string;
      readonly events: number;
    }
  /** The run does not exist or has produced no token yet. */
  | {readonly kind: 'not_running'}
  /** Another call for the run is in progress. */
  | {readonly kind: 'in_progress'}
  /**
   * The target has no room or cannot be reached; `handle` identifies the memory
   * at the source if the run was stopped.
   */
  | {
      readonly kind: 'no_room';
      readonly handle?: string;
      /** Time for which the source wants no other request. */
      readonly pauseMilliseconds?: number;
    }
  /** No valid response; the run may have been stopped. */
  | {readonly kind: 'unknown'; readonly message: string};

/** Translates between the gateway and a wire protocol. */
export interface Dialect {
  /** Parses the headers of a request. */
  readRequest(headers: IncomingHttpHeaders): RequestMetadata;

  /**
   * Builds the headers of an attempt.
   *
   * @param rawHeaders - The caller's headers, alternating names and values
   * @param bodyBytes - Size of the body that follows
   * @param metadata - What the gateway states about the attempt
   * @returns Alternating names and values
   */
  buildAttemptHeaders(
    rawHeaders: readonly string[],
    bodyBytes: number,
    metadata: AttemptMetadata,
  ): string[];

  /** Parses the headers of a response. */
  readResponse(response: IncomingMessage): ResponseMetadata;

  /**
   * Builds the headers of a response to the caller: those of the endpoint,
   * except for hop-by-hop headers.
   *
   * @returns Alternating names and values
   */
  buildResponseHeaders(rawHeaders: readonly string[]): string[];

  /** Builds the headers that state when a rejected caller may retry. */
  buildRetryAfterHeaders(milliseconds: number): string[];

  /** Opens a connection ahead to an engine whose runs will be moved. */
  prepareMove(source: EndpointAddress): void;

  /** Copies a run's memory; stops the run first if `stop` is set. */
  moveRun(call: MoveCall): Promise<MoveOutcome>;

  /**
   * Frees an unused copy.
   *
   * @returns Milliseconds for which the holder wants no other request; undefined
   *   when it states none
   */
  dropCopy(call: DropCopyCall): Promise<number | undefined>;

  /** Requests the report of an engine; undefined if it sends no valid one. */
  readReport(endpoint: EndpointAddress): Promise<EngineReport | undefined>;
}

/** Address of an endpoint. */
export interface EndpointAddress {
  readonly host: string;
  readonly port: number;
}

/** Request to copy a run's memory. */
export interface MoveCall {
  readonly source: EndpointAddress;
  readonly target: EndpointAddress;
  readonly requestId: string;
  /** True to stop the run and close its stream before the copy. */
  readonly stop: boolean;
  readonly timeoutMilliseconds: number;
}

/** Request to free a copy. */
export interface DropCopyCall {
  /** Engine that holds the copy. */
  readonly holder: EndpointAddress;
  readonly handle: string;
}
