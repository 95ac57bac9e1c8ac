/**
 * How callers and endpoints speak, as the gateway needs it. Adapters put the
 * names of a wire behind this; the gateway knows none of them.
 */
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';

/** Part of a prompt that requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a caller says of its request. */
export interface RequestFacts {
  /** Identifies this try of the caller; absent when it sent none. */
  readonly requestId?: string;
  /** How long the caller waits, from the request on. */
  readonly deadlineMilliseconds?: number;
  /** Key of an organisation. */
  readonly apiKey?: string;
  readonly promptTokens: number;
  /** Most tokens that may be generated; 0 when the caller does not say. */
  readonly maximumOutputTokens: number;
  /** The caller's own estimate of the tokens, often far off. */
  readonly estimatedOutputTokens?: number;
  /** In order; the last one belongs to the request or its session alone. */
  readonly promptParts: readonly PromptPart[];
}

/** Where the memory of an earlier run of a generation is taken from. */
export interface MemorySource {
  readonly host: string;
  readonly port: number;
  /** Handle of a moved run, or the request's identity for a checkpoint. */
  readonly handle: string;
}

/** What the gateway says of one attempt to an endpoint. */
export interface AttemptFacts {
  /** Life of the endpoint that is meant; any other refuses. */
  readonly endpointId: string;
  readonly remainingMilliseconds: number;
  /** Whose request it is; absent where no key was asked for. */
  readonly organisation?: string;
  /** Rank at the engine; 0 comes first. */
  readonly urgency?: number;
  /** Endpoint that keeps a checkpoint of the run as it grows. */
  readonly checkpointAt?: {readonly host: string; readonly port: number};
  /** Goes on after this event rather than from the beginning. */
  readonly lastEventId?: string;
  readonly memorySource?: MemorySource;
}

/** Load that an endpoint tells with an answer. */
export interface ToldLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What an endpoint says with an answer. */
export interface AnswerFacts {
  /** Request that the answer belongs to. */
  readonly requestId?: string;
  /** True when the answer bears the endpoint's own signature. */
  readonly isSigned: boolean;
  /** True when the endpoint states that it did not run the request. */
  readonly isNotRun: boolean;
  readonly load?: ToldLoad;
}

/** What an engine reports of itself. */
export interface EngineReport {
  readonly running: number;
  readonly waiting: number;
  /** Memory that cannot be freed, in tokens. */
  readonly usedTokens: number;
  readonly memoryTokens: number;
  readonly isLeaving: boolean;
  /** Time until it leaves, if it knows. */
  readonly leavesInMilliseconds?: number;
}

/** Outcome of copying a run's memory to another engine. */
export type MoveOutcome =
  /** The copy is complete up to the events that are told. */
  | {
      readonly kind: 'copied';
      readonly handle: string;
      readonly events: number;
    }
  /** The run does not exist, or has no token yet. */
  | {readonly kind: 'not_running'}
  /** Another call for the run is in progress. */
  | {readonly kind: 'in_progress'}
  /** There is no room, or the target cannot be reached. */
  | {readonly kind: 'no_room'; readonly handle?: string}
  /** No answer; the run may have been stopped. */
  | {readonly kind: 'unknown'; readonly message: string};

/** Translates between the gateway and a wire. */
export interface Dialect {
  /** Reads what a caller says of its request. */
  readRequest(headers: IncomingHttpHeaders): RequestFacts;

  /**
   * Builds the headers of an attempt.
   *
   * @param rawHeaders - The caller's headers, names and values by turns
   * @param bodyBytes - Size of the body that follows
   * @returns Names and values by turns
   */
  writeAttempt(
    rawHeaders: readonly string[],
    bodyBytes: number,
    facts: AttemptFacts,
  ): string[];

  /** Reads what an endpoint says with an answer. */
  readAnswer(answer: IncomingMessage): AnswerFacts;

  /**
   * Builds the headers of an answer for the caller: those of the endpoint but
   * for the ones that concern its connection.
   *
   * @returns Names and values by turns
   */
  writeAnswer(rawHeaders: readonly string[]): string[];

  /** Headers of a refusal: when the caller may come back. */
  writeRetryAfter(milliseconds: number): string[];

  /** Opens a connection to an engine whose runs will be moved. */
  prepareMove(source: EndpointAddress): void;

  /** Copies a run's memory; stops the run first when `stop` is set. */
  moveRun(call: MoveCall): Promise<MoveOutcome>;

  /** Frees a copy that is not used. */
  dropCopy(call: DropCopyCall): Promise<void>;

  /** Reads the report of an engine; undefined when there is none. */
  readReport(endpoint: EndpointAddress): Promise<EngineReport | undefined>;
}

/** Address of an endpoint. */
export interface EndpointAddress {
  readonly host: string;
  readonly port: number;
}

/** A copy to be made. */
export interface MoveCall {
  readonly source: EndpointAddress;
  readonly target: EndpointAddress;
  readonly requestId: string;
  /** True when the run stops first and its stream is closed. */
  readonly stop: boolean;
  readonly timeoutMilliseconds: number;
}

/** A copy to be freed. */
export interface DropCopyCall {
  /** Engine that the memory was copied to. */
  readonly holder: EndpointAddress;
  readonly handle: string;
}
