/**
 * Routing configuration that operators set for callers and services.
 */

/** Whether a request may run more than once. */
export type Repeatability =
  /** The request may run any number of times. */
  | 'idempotent'
  /** The request may run at most once. */
  | 'non_idempotent';

/** Service that receives a share of the requests of a route. */
export interface WeightedService {
  readonly service: string;
  /** Share of the requests, relative to the other weights of the route. */
  readonly weight: number;
}

/** Rules for the requests of a host and path prefix. */
export interface Route {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly hostname: string;
  /** Path prefix, which starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly repeatability: Repeatability;
  /** True when the response is an event stream. */
  readonly isStream: boolean;
  /** True when a new run may resume a broken stream after its last event. */
  readonly isResumable: boolean;
  /** True when no API key is required. */
  readonly isPublic: boolean;
  readonly timeoutMilliseconds: number;
  /** Latency target of the response, or of the first event of a stream. */
  readonly targetLatencyMilliseconds: number;
  /** Latency target between two consecutive events. */
  readonly targetGapMilliseconds: number;
  /** Maximum number of endpoints to which one request is sent. */
  readonly maximumAttempts: number;
  /** Priority among routes; 0 is the highest. */
  readonly priority: number;
  /** Regions in which the requests may run; absent if all may be used. */
  readonly allowedRegions?: ReadonlySet<string>;
  readonly services: readonly WeightedService[];
}

/** Capabilities of the model engines of a service. */
export interface EngineProfile {
  /** Number of generations in one batch. */
  readonly slots: number;
  /** Memory capacity of one engine, in tokens. */
  readonly memoryTokens: number;
  /** Size of the state of one token when it is copied, in bytes. */
  readonly bytesPerToken: number;
  /** Bandwidth of the link for such copies, in megabits per second. */
  readonly copyLinkMegabitsPerSecond: number;
  /** True when a running generation can migrate to another engine. */
  readonly supportsMoves: boolean;
  /** True when a running generation can be checkpointed on another engine. */
  readonly supportsCheckpoints: boolean;
  /** Number of tokens in one stream event. */
  readonly tokensPerEvent: number;
  /** Retention time of an unused copy, in milliseconds. */
  readonly copyLifetimeMilliseconds: number;
}

/** Service to which requests are forwarded. */
export interface RoutedService {
  readonly name: string;
  readonly healthPath: string;
  /** Maximum connections to one endpoint, across all callers. */
  readonly maximumConnections: number;
  /** Absent for services that are not model engines. */
  readonly engine?: EngineProfile;
  /** Time for which an endpoint is cold after its start. */
  readonly coldStartMilliseconds: number;
  /**
   * Requests a second that a cold endpoint tolerates from all gateways together;
   * absent if there is no limit.
   */
  readonly coldRequestsPerSecond?: number;
}

/** Limits on the requests of callers. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** Organisation and its priority. */
export interface RoutedOrganisation {
  readonly name: string;
  /** Overrides the priority of the route; when absent, the route's applies. */
  readonly priority?: number;
  /** Regions in which its requests may run; absent if all may be used. */
  readonly allowedRegions?: ReadonlySet<string>;
}

/** One version of the routing configuration. */
export interface RoutingConfiguration {
  /** Higher versions replace lower ones. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly limits: CallerLimits;
  /** Organisations by API key; absent when no keys are required. */
  readonly organisationsByKey?: ReadonlyMap<string, RoutedOrganisation>;
}
