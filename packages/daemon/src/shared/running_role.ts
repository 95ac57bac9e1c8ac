/**
 * Interface between a process and the role that it runs.
 */
import type {StatusReply} from '@briarpin/messages';

/** A running gateway or sidecar. */
export interface RunningRole {
  /** Bound ports. */
  readonly ports: {internal: number; callers?: number};
  readonly status: () => StatusReply;
  /** Stops accepting new requests; running ones continue. */
  readonly startDraining: (reason: string) => void;
  /** Called after each configuration change. */
  readonly onConfiguration: () => void;
  /** Called after each membership list that was read. */
  readonly onMembership?: () => void;
  /**
   * Resolves when all requests have ended or the grace period is over, and all
   * servers are closed.
   */
  readonly drainAndClose: () => Promise<void>;
  /** Called when an operator requests a graceful shutdown. */
  requestDrain: (reason: string) => void;
}
