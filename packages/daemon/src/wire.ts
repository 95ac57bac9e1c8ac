/**
 * Composition root of a gateway or sidecar process: constructs all of its
 * components from the settings.
 */
import {
  ConfigurationReplica,
  MembershipView,
  selectLogPollers,
  SuspicionTable,
  SYSTEM_CLOCK,
} from '@briarpin/coordination';
import type {GatewaySettings, SidecarSettings} from '@briarpin/settings';

import {runTask} from '@briarpin/telemetry';
import {startGateway} from './gateway/gateway.js';
import {createLogger, type EventLogger} from '@briarpin/telemetry';
import {HistogramRegistry} from '@briarpin/telemetry';
import {HttpLog} from '@briarpin/platform';
import {pullUntilReady} from './shared/configuration_peer.js';
import {followMembership} from './shared/follow_membership.js';
import {followSuspicions} from './shared/follow_suspicions.js';
import {
  DEFAULT_SHUTDOWN_GRACE_MILLISECONDS,
  GracePeriod,
} from './shared/grace_period.js';
import type {ProcessContext} from './shared/process_context.js';
import type {RunningRole} from './shared/running_role.js';
import {
  createChannelCredentials,
  createServerCredentials,
} from './shared/transport_credentials.js';
import {startSidecar} from './sidecar/sidecar.js';

const DEFAULT_LONG_POLL_MILLISECONDS = 1_000;
const SUSPICIONS_LONG_POLL_MILLISECONDS = 10_000;
const DEFAULT_MEMBERSHIP_POLL_MILLISECONDS = 1_000;
const DEFAULT_HISTOGRAM_SERIES = 512;

/** Role of a process and the settings of that role. */
export type RoleSettings =
  | {readonly role: 'gateway'; readonly settings: GatewaySettings}
  | {readonly role: 'sidecar'; readonly settings: SidecarSettings};

/** Handle of a running process. */
export interface RunningProcess {
  readonly role: RunningRole;
  readonly logger: EventLogger;
  /**
   * Drains the role and closes its servers, then stops the background tasks.
   * All calls return the promise of the first one.
   */
  readonly shutDown: (reason: string) => Promise<void>;
  /**
   * Does the same and begins the grace period, after which the supervisor of
   * the process kills it.
   */
  readonly shutDownInTime: (reason: string) => Promise<void>;
}

/**
 * Callbacks from the shared components to the role; set after the role has
 * started, because the role is constructed from these components.
 */
interface RoleCallbacks {
  onConfiguration: () => void;
}

/**
 * Starts a gateway or a sidecar with its background tasks.
 *
 * @param roleSettings - The role and its settings
 * @param onDrained - Called after a graceful shutdown that an operator has
 *     requested
 * @returns The running process; rejects when an address cannot be bound or a
 *     file cannot be read
 */
export async function startProcess(
  roleSettings: RoleSettings,
  onDrained: () => void,
): Promise<RunningProcess> {
  const abortController = new AbortController();
  const callbacks: RoleCallbacks = {onConfiguration: () => undefined};
  const context = createContext(
    roleSettings,
    abortController.signal,
    callbacks,
  );
  const role =
    roleSettings.role === 'gateway'
      ? await startGateway(roleSettings.settings, context)
      : await startSidecar(roleSettings.settings, context);
  callbacks.onConfiguration = () => role.onConfiguration();
  const running = createRunningProcess(role, context, abortController);
  role.requestDrain = reason => {
    runTask('drain', context.logger, () =>
      running.shutDown(reason).then(onDrained),
    );
  };
  startBackgroundTasks(roleSettings, context, role);
  return running;
}

function createContext(
  {settings}: RoleSettings,
  signal: AbortSignal,
  callbacks: RoleCallbacks,
): ProcessContext {
  const {instance, availabilityZone, region, platformUrl} = settings;
  const logger = createLogger({
    level: settings.logLevel ?? 'info',
    fields: {instance},
  });
  const log = new HttpLog(platformUrl);
  const membership = new MembershipView();
  const replica = new ConfigurationReplica({
    log,
    clock: SYSTEM_CLOCK,
    random: Math.random,
    longPollMilliseconds:
      settings.logLongPollMilliseconds ?? DEFAULT_LONG_POLL_MILLISECONDS,
    pollerRank: () => {
      const pollers = selectLogPollers(membership.all, availabilityZone);
      const rank = pollers.indexOf(instance);
      return rank === -1 ? undefined : rank;
    },
    onChange: table => {
      logger.info('configuration', {version: table.version, keys: table.size});
      callbacks.onConfiguration();
    },
  });
  return {
    instance,
    availabilityZone,
    region,
    clock: SYSTEM_CLOCK,
    random: Math.random,
    logger,
    histograms: new HistogramRegistry(
      settings.histogramSeries ?? DEFAULT_HISTOGRAM_SERIES,
    ),
    log,
    membership,
    replica,
    suspicions: new SuspicionTable(),
    channelCredentials: createChannelCredentials(settings.tls),
    serverCredentials: createServerCredentials(settings.tls),
    gracePeriod: new GracePeriod(
      SYSTEM_CLOCK,
      settings.shutdownGraceMilliseconds ?? DEFAULT_SHUTDOWN_GRACE_MILLISECONDS,
    ),
    signal,
  };
}

function createRunningProcess(
  role: RunningRole,
  context: ProcessContext,
  abortController: AbortController,
): RunningProcess {
  let ended: Promise<void> | undefined;
  const shutDown = (reason: string): Promise<void> => {
    ended ??= (async () => {
      role.startDraining(reason);
      await role.drainAndClose();
      abortController.abort();
      context.logger.info('ended');
    })();
    return ended;
  };
  return {
    role,
    logger: context.logger,
    shutDown,
    shutDownInTime: reason => {
      context.gracePeriod.start();
      return shutDown(reason);
    },
  };
}

function startBackgroundTasks(
  {settings}: RoleSettings,
  context: ProcessContext,
  role: RunningRole,
): void {
  const {clock, random, signal, logger, membership, replica, log} = context;
  const {platformUrl, instance} = settings;
  runTask('configuration', logger, () => replica.run(signal));
  runTask('suspicions', logger, () =>
    followSuspicions({
      log,
      clock,
      random,
      signal,
      table: context.suspicions,
      longPollMilliseconds: SUSPICIONS_LONG_POLL_MILLISECONDS,
    }),
  );
  runTask('membership', logger, () =>
    followMembership({
      platformUrl,
      view: membership,
      clock,
      logger,
      random,
      signal,
      intervalMilliseconds:
        settings.membershipPollMilliseconds ??
        DEFAULT_MEMBERSHIP_POLL_MILLISECONDS,
      onUpdate: () => {
        role.onMembership?.();
        if (membership.find(instance)?.state === 'leaving') {
          role.startDraining('membership');
        }
      },
    }),
  );
  runTask('configuration_peers', logger, () =>
    pullUntilReady({
      instance,
      replica,
      membership,
      credentials: context.channelCredentials,
      clock,
      random,
      signal,
    }),
  );
}
