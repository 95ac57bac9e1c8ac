/**
 * An admitted request, and how it ended.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import type {
  Route,
  RoutedOrganisation,
  RoutedService,
  StreamOrigin,
} from '@briarpin/coordination';

import type {ConnectionPosition} from '../caller_connections/caller_connections.js';
import type {RequestMetadata} from '../dialect/dialect.js';
import type {MemoryAccount} from '../memory_budget/memory_budget.js';

/** One admitted request. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly metadata: RequestMetadata;
  readonly route: Route;
  readonly service: RoutedService;
  readonly organisation?: RoutedOrganisation;
  readonly body: Buffer;
  /** Memory that the request holds; released when its response is sent. */
  readonly memory: MemoryAccount;
  /** Returns the fingerprint, which is the same when the request comes again. */
  readonly fingerprint: () => string;
  /** Place of the request on its caller's connection. */
  readonly connectionPosition: ConnectionPosition;
  /** Arrival time in milliseconds of the gateway's clock. */
  readonly arrivedAt: number;
  /** The earlier of the caller's deadline and the route's timeout. */
  readonly expiresAt: number;
  /** Aborted when the caller disconnects, or the exchange or gateway ends. */
  readonly signal: AbortSignal;
  /** Endpoints that have been attempted, in order. */
  readonly triedEndpointIds: string[];
  /**
   * Where the stream began; absent until its first event. Once it is set, no
   * other software version may run the request.
   */
  origin?: StreamOrigin;
}

/** How a request ended, for logs, metrics and histograms. */
export interface ExchangeResult {
  readonly outcome: 'done' | 'not_run' | 'unknown' | 'left' | 'rejected';
  readonly status: number;
  readonly reason?: string;
  /** Time from arrival to the response or to the first event. */
  readonly firstByteMilliseconds?: number;
}
