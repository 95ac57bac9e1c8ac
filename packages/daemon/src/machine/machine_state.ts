/**
 * Mutable state of a gateway on a machine, shared by its components.
 */
import type {
  AwaitedRead,
  EndpointDeparture,
  EndpointEntry,
  EvacuatedZones,
  FreshnessExchange,
  StalenessTracker,
  SuspicionTable,
} from '@briarpin/coordination';
import type {EndpointDoubt} from '@briarpin/forwarding';
import type {SuspicionRecord} from '@briarpin/messages';

import type {StoreState} from './follow_store.js';
import type {ExpiringList} from './expiring_list.js';
import type {ObservedStore} from './observed_store.js';

/** State shared by the components of a running gateway. */
export interface MachineState {
  /** State read from the store. */
  readonly storeState: StoreState;
  /** Zones whose endpoints receive no requests. */
  readonly evacuatedZones: EvacuatedZones;
  /** Tracks the age of the configuration read from the store. */
  readonly stalenessTracker: StalenessTracker;
  /** Confirms the configuration by what other gateways have read. */
  readonly configurationFreshness: FreshnessExchange;
  /** The platform's store. */
  readonly store: ObservedStore;
  /** Aborted at shutdown; stops all background tasks. */
  readonly abortController: AbortController;
  /** Endpoints that recently stopped accepting work; included in reports. */
  readonly departures: ExpiringList<EndpointDeparture>;
  /** Endpoints that recently appeared in the store; included in reports. */
  readonly arrivals: ExpiringList<EndpointEntry>;
  /** Suspicions of all gateways against requests that crash endpoints. */
  readonly suspicionTable: SuspicionTable;
  /** Suspicions that changed here recently; included in reports. */
  readonly recentSuspicions: ExpiringList<SuspicionRecord>;
  /** Endpoints that were recently found to be in doubt; included in reports. */
  readonly recentDoubts: ExpiringList<EndpointDoubt>;
  /** Reads of the endpoints that requests wait for. */
  readonly endpointsRead: AwaitedRead;
  /** Time of the last read of the endpoints, on the monotonic clock. */
  endpointsReadAt: number;
}
