/**
 * Builds a gateway on a machine whose platform writes the settings; the one
 * module that constructs its parts.
 */
import http from 'node:http';

import {
  CONFIGURATION_KEY,
  decodeEndpoint,
  decodeRouting,
  ENDPOINTS_TOPIC,
  KeyedStore,
  OPERATORS_TOPIC,
  RequestDialect,
  type InstanceSettings,
} from '@briarpin/machines';
import {
  ContactGuard,
  EndpointRegistry,
  followKeyedTopic,
  STEADY_CLOCK,
  type EndpointEntry,
  type FollowKeyedTopicOptions,
  type KeyedRecord,
  type RoutingConfiguration,
} from '@briarpin/coordination';
import {
  EndpointClient,
  EndpointLoads,
  ForwardingGateway,
  type ForwardingParts,
  type Knowledge,
} from '@briarpin/forwarding';
import {RetryBudget} from '@briarpin/scheduling';
import {
  createLogger,
  HistogramRegistry,
  runTask,
  type EventLogger,
} from '@briarpin/telemetry';

/** How long the store holds a read that has nothing to tell. */
const LONG_POLL_MILLISECONDS = 700;

/** Pause after records of endpoints, so that one read gathers several. */
const GATHER_MILLISECONDS = 60;

/**
 * Part of the revocation bound after which keys are refused; the rest covers
 * the drift of clocks and late timers.
 */
const KEY_AGE_SHARE = 0.9;

/** Part of the configuration bound after which nothing is denied. */
const DENIAL_AGE_SHARE = 0.8;

/** Age of the configuration at which other gateways should be preferred. */
const READY_AGE_SHARE = 0.6;

/** Histograms kept for organisations and routes. */
const HISTOGRAM_SERIES = 512;

/** Time in which the platform takes a machine out that says it is not ready. */
const LEAVING_NOTICE_MILLISECONDS = 3_000;

/** Time left before SIGKILL when open requests are given up. */
const STOP_RESERVE_MILLISECONDS = 250;

/** Round trips by distance, in milliseconds. */
const SAME_REGION_HOP_MILLISECONDS = 2;
const OTHER_REGION_HOP_MILLISECONDS = 24;

/** A gateway that is running. */
export interface RunningMachine {
  readonly logger: EventLogger;
  /** Takes changed settings. */
  readonly reload: () => void;
  /** Finishes what is open within the grace, then ends. */
  readonly shutDown: (reason: string) => Promise<void>;
}

/** What is known from the store. */
interface StoreKnowledge {
  configuration?: RoutingConfiguration;
  hasEndpoints: boolean;
}

/**
 * Starts a gateway.
 *
 * @param settings - Settings of the instance
 * @returns The running gateway
 * @throws Error when an address cannot be bound
 */
export async function startMachineGateway(
  settings: InstanceSettings,
): Promise<RunningMachine> {
  const ended = new AbortController();
  const state = {isLeaving: false};
  const logger = createLogger({
    level: 'info',
    fields: {instance: settings.instance},
    stream: process.stdout,
  });
  const guard = new ContactGuard({
    steadyMilliseconds: () => performance.now(),
    wallMilliseconds: () => Date.now(),
  });
  const known: StoreKnowledge = {hasEndpoints: false};
  const knowledge = (): Knowledge => ({
    configuration: known.configuration,
    ageMilliseconds: guard.ageMilliseconds(),
  });
  const parts = createParts(settings, logger, state, entry =>
    gateway.onEndpointLeaving(entry),
  );
  const {revocationMilliseconds, configurationMilliseconds} = settings.bounds;
  const gateway = new ForwardingGateway(parts, {
    knowledge,
    bounds: {
      keyAgeMilliseconds: revocationMilliseconds * KEY_AGE_SHARE,
      denialAgeMilliseconds: configurationMilliseconds * DENIAL_AGE_SHARE,
    },
  });
  const isReady = () =>
    !state.isLeaving &&
    known.hasEndpoints &&
    known.configuration !== undefined &&
    guard.ageMilliseconds() < revocationMilliseconds * READY_AGE_SHARE;
  const readiness = await serveReadiness(settings, isReady);
  await gateway.listen(settings.callers.host, settings.callers.port);
  followStore(settings, parts, gateway, {known, guard, signal: ended.signal});
  return {
    logger,
    reload: () => logger.info('settings_reloaded'),
    shutDown: async reason => {
      if (state.isLeaving) {
        return;
      }
      state.isLeaving = true;
      logger.info('leaving', {reason, open: gateway.openRequests});
      const grace =
        settings.bounds.stopGraceMilliseconds - STOP_RESERVE_MILLISECONDS;
      await parts.clock.sleep(LEAVING_NOTICE_MILLISECONDS);
      gateway.stopListening();
      await gateway.finish(grace - LEAVING_NOTICE_MILLISECONDS);
      logger.info('ended', {open: gateway.openRequests});
      ended.abort();
      gateway.close();
      readiness.close();
    },
  };
}

function createParts(
  settings: InstanceSettings,
  logger: EventLogger,
  state: {readonly isLeaving: boolean},
  onLeaving: (entry: EndpointEntry) => void,
): ForwardingParts {
  const clock = STEADY_CLOCK;
  const dialect = new RequestDialect();
  const loads = new EndpointLoads({
    now: () => clock.now(),
    hopMilliseconds: entry => computeHop(settings, entry),
  });
  const budgets = new Map<string, RetryBudget>();
  return {
    dialect,
    client: new EndpointClient(dialect),
    endpoints: new EndpointRegistry({
      heartbeatMilliseconds: settings.heartbeatMilliseconds,
      now: () => clock.now(),
      onLeaving: (entry, reason) => {
        logger.info('endpoint_leaving', {endpoint: entry.id, reason});
        onLeaving(entry);
      },
    }),
    loads,
    retryBudgets: {
      find: service => {
        const budget =
          budgets.get(service) ?? new RetryBudget(settings.bounds.retryRatio);
        budgets.set(service, budget);
        return budget;
      },
    },
    clock,
    random: Math.random,
    logger,
    histograms: new HistogramRegistry(HISTOGRAM_SERIES),
    isLeaving: () => state.isLeaving,
  };
}

function computeHop(settings: InstanceSettings, entry: EndpointEntry): number {
  if (entry.availabilityZone === settings.availabilityZone) {
    return 0;
  }
  const region = settings.regionsByAvailabilityZone.get(entry.availabilityZone);
  return region === settings.region
    ? SAME_REGION_HOP_MILLISECONDS
    : OTHER_REGION_HOP_MILLISECONDS;
}

function serveReadiness(
  settings: InstanceSettings,
  isReady: () => boolean,
): Promise<http.Server> {
  const server = http.createServer((request, response) => {
    response.writeHead(isReady() ? 200 : 503);
    response.end();
  });
  const {host, port} = settings.readiness;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}

interface StoreFollower {
  readonly known: StoreKnowledge;
  readonly guard: ContactGuard;
  readonly signal: AbortSignal;
}

function followStore(
  settings: InstanceSettings,
  parts: ForwardingParts,
  gateway: ForwardingGateway,
  {known, guard, signal}: StoreFollower,
): void {
  const {logger, clock, random} = parts;
  const common = {
    store: new KeyedStore(settings.store),
    clock,
    random,
    signal,
    longPollMilliseconds: LONG_POLL_MILLISECONDS,
  };
  const follow = (
    topic: string,
    options: Pick<
      FollowKeyedTopicOptions,
      'onSnapshot' | 'onRecords' | 'onRead' | 'gatherMilliseconds'
    >,
  ) => {
    const onFailure = (error: {message: string}) =>
      logger.warn('store_read_failed', {topic, message: error.message});
    runTask(topic, logger, () =>
      followKeyedTopic(topic, {...common, ...options, onFailure}),
    );
  };
  const takeConfiguration = (records: readonly KeyedRecord[]) => {
    records.forEach(record =>
      applyConfiguration(record, known, gateway, parts),
    );
  };
  follow(OPERATORS_TOPIC, {
    gatherMilliseconds: 0,
    onSnapshot: takeConfiguration,
    onRecords: takeConfiguration,
    onRead: () => {
      const sentAt = guard.mark();
      return () => guard.confirm(sentAt);
    },
  });
  const {endpoints} = parts;
  follow(ENDPOINTS_TOPIC, {
    gatherMilliseconds: GATHER_MILLISECONDS,
    onSnapshot: records => {
      endpoints.noteContact();
      endpoints.replaceAll(decodeAll(records, logger));
      known.hasEndpoints = true;
    },
    onRecords: records => {
      endpoints.noteContact();
      records.forEach(record => {
        const entry = decodeEndpoint(record);
        if (entry === undefined) {
          endpoints.remove(record.key);
        } else {
          endpoints.put(entry);
        }
      });
      endpoints.expire();
    },
    onRead: () => () => undefined,
  });
}

function decodeAll(
  records: readonly KeyedRecord[],
  logger: EventLogger,
): EndpointEntry[] {
  return records.flatMap(record => {
    const entry = decodeEndpoint(record);
    if (entry === undefined) {
      logger.warn('endpoint_entry_broken', {key: record.key});
    }
    return entry ?? [];
  });
}

/** Puts a configuration in force; an older one never replaces a newer one. */
function applyConfiguration(
  {key, value}: KeyedRecord,
  known: StoreKnowledge,
  gateway: ForwardingGateway,
  {logger}: ForwardingParts,
): void {
  if (key !== CONFIGURATION_KEY || value === undefined) {
    return;
  }
  const configuration = decodeRouting(value);
  if (configuration === undefined) {
    logger.warn('configuration_broken', {bytes: value.length});
    return;
  }
  const before = known.configuration?.version ?? Number.NEGATIVE_INFINITY;
  if (configuration.version <= before) {
    return;
  }
  known.configuration = configuration;
  gateway.applyLimits(configuration.limits);
  logger.info('configuration', {
    version: configuration.version,
    routes: configuration.routes.length,
  });
}
