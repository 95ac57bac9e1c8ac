/**
 * Dependencies shared by the modules of a process.
 */
import type {
  AppendOnlyLog,
  Clock,
  ConfigurationReplica,
  MembershipView,
  SuspicionTable,
} from '@briarpin/coordination';
import type {ChannelCredentials, ServerCredentials} from '@grpc/grpc-js';

import type {EventLogger} from '@briarpin/telemetry';
import type {HistogramRegistry} from '@briarpin/telemetry';
import type {GracePeriod} from './grace_period.js';

/** Dependencies of both roles; constructed by the module that wires them. */
export interface ProcessContext {
  readonly instance: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly clock: Clock;
  /** Source of numbers in [0, 1). */
  readonly random: () => number;
  readonly logger: EventLogger;
  readonly histograms: HistogramRegistry;
  readonly log: AppendOnlyLog;
  readonly membership: MembershipView;
  readonly replica: ConfigurationReplica;
  readonly suspicions: SuspicionTable;
  readonly channelCredentials: ChannelCredentials;
  readonly serverCredentials: ServerCredentials;
  /** Time between a signal and the end of the process. */
  readonly gracePeriod: GracePeriod;
  /** Aborted when the process ends; stops all background tasks. */
  readonly signal: AbortSignal;
}
