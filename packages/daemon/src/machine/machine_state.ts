/**
 * What the parts of a gateway's process share while it runs.
 */
import type {StalenessTracker, EndpointEntry} from '@briarpin/coordination';

import type {StoreKnowledge} from './follow_store.js';
import type {RecentlySeen} from './recently_seen.js';

/** What the parts of a process share while it runs. */
export interface MachineState {
  readonly known: StoreKnowledge;
  readonly guard: StalenessTracker;
  readonly ended: AbortController;
  readonly departures: RecentlySeen<EndpointEntry>;
  readonly arrivals: RecentlySeen<EndpointEntry>;
  isLeaving: boolean;
  /** When endpoints were last read from the store, by the steady clock. */
  endpointsReadAt: number;
}
