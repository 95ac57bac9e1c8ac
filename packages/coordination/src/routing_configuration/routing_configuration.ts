/**
 * What operators have put in force for callers and services.
 */

/** How often one request may run. */
export type Repeatability =
  /** May run any number of times. */
  | 'idempotent'
  /** Runs once at most. */
  | 'non_idempotent';

/** A service that takes a part of a route's requests. */
export interface WeightedService {
  readonly service: string;
  /** Part of the requests, relative to the other weights of the route. */
  readonly weight: number;
}

/** Requests that are treated alike, chosen by host and path. */
export interface Route {
  readonly name: string;
  /** Host of the requests, in lower case and without a port. */
  readonly hostname: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly repeatability: Repeatability;
  /** True when the answer is a stream of events. */
  readonly isStream: boolean;
  /** True when a broken stream may go on as a new run after its last event. */
  readonly isResumable: boolean;
  /** True when no key is asked for. */
  readonly isPublic: boolean;
  readonly timeoutMilliseconds: number;
  /** Time to the answer, or to the first event, that callers expect. */
  readonly targetLatencyMilliseconds: number;
  /** Longest pause between events that callers expect. */
  readonly targetGapMilliseconds: number;
  /** Endpoints to which one request may be sent. */
  readonly maximumAttempts: number;
  /** Rank among routes; 0 comes first. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
}

/** What the engines of a service are like. */
export interface EngineProfile {
  /** Generations in one batch. */
  readonly slots: number;
  /** Memory of one engine, in tokens. */
  readonly memoryTokens: number;
  /** Size of the memory of one token when it is copied, in bytes. */
  readonly bytesPerToken: number;
  /** Bandwidth of the link for such copies, in megabits a second. */
  readonly copyLinkMegabitsPerSecond: number;
  /** True when a running generation can be moved to another engine. */
  readonly supportsMoves: boolean;
  /** True when a running generation can be checkpointed on another engine. */
  readonly supportsCheckpoints: boolean;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** Time for which a copy that nobody uses is kept, in milliseconds. */
  readonly copyLifetimeMilliseconds: number;
}

/** A service that requests are forwarded to. */
export interface RoutedService {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one endpoint accepts from all callers together. */
  readonly maximumConnections: number;
  /** Absent for services that are no model engines. */
  readonly engine?: EngineProfile;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** An organisation and its rank. */
export interface RoutedOrganisation {
  readonly name: string;
  /** Goes before the route's priority; absent when the route's applies. */
  readonly priority?: number;
}

/** One version of what is in force. */
export interface RoutingConfiguration {
  /** Larger versions replace smaller ones. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly limits: CallerLimits;
  /** Organisations by key; absent when no keys are asked for. */
  readonly organisationsByKey?: ReadonlyMap<string, RoutedOrganisation>;
}
