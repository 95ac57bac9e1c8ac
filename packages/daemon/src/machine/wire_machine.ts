/**
 * Builds a gateway on a machine whose platform writes the settings; the one
 * module that constructs its parts.
 */
import type {AddressInfo} from 'node:net';

import {
  ContactGuard,
  EndpointRegistry,
  keepRegistered,
  STEADY_CLOCK,
  type EndpointEntry,
  type LeavingReason,
} from '@briarpin/coordination';
import {
  EndpointClient,
  EndpointLoads,
  ForwardingGateway,
  EvacuationTurn,
  GatewayMesh,
  RetryBudgets,
  type ForwardingParts,
} from '@briarpin/forwarding';
import {
  KeyedStore,
  RequestDialect,
  type InstanceSettings,
} from '@briarpin/machines';
import {
  createLogger,
  HistogramRegistry,
  runTask,
  type EventLogger,
} from '@briarpin/telemetry';

import {
  encodeGateway,
  followStore,
  GATEWAYS_TOPIC,
  type StoreKnowledge,
} from './follow_store.js';
import {serveReadiness} from './serve_readiness.js';

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

/** Silence after which the work that a gateway told of counts as ended. */
const SILENT_GATEWAY_MILLISECONDS = 2_000;

/** Round trips by distance, in milliseconds. */
const SAME_REGION_HOP_MILLISECONDS = 2;
const OTHER_REGION_HOP_MILLISECONDS = 24;

/** A gateway that is running. */
export interface RunningMachine {
  readonly logger: EventLogger;
  /** Ports that were bound. */
  readonly ports: {readonly callers: number; readonly readiness: number};
  /** Takes changed settings. */
  readonly reload: () => void;
  /** Finishes what is open within the grace, then ends. */
  readonly shutDown: (reason: string) => Promise<void>;
  /** Ends at once. */
  readonly stop: () => Promise<void>;
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
  const {signal} = ended;
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
  const parts = createParts(settings, logger, state, (entry, reason) => {
    logger.info('endpoint_leaving', {endpoint: entry.id, reason});
    runTask('evacuation', logger, () => evacuate(entry, gateway, mesh));
  });
  const gateway = createGateway(settings, parts, known, guard);
  const mesh = createMesh(settings, parts, gateway);
  const isReady = () =>
    !state.isLeaving &&
    known.hasEndpoints &&
    known.configuration !== undefined &&
    guard.ageMilliseconds() <
      settings.bounds.revocationMilliseconds * READY_AGE_SHARE;
  const readiness = await serveReadiness(settings.readiness, isReady);
  const callersPort = await gateway.listen(
    settings.callers.host,
    settings.callers.port,
  );
  const store = new KeyedStore(settings.store);
  const {clock, random} = parts;
  followStore({
    store,
    clock,
    random,
    logger,
    signal,
    known,
    guard,
    endpoints: parts.endpoints,
    onConfiguration: configuration => gateway.applyLimits(configuration.limits),
    onGateways: gateways => {
      mesh.setPeers(gateways);
      parts.retryBudgets.setGateways(gateways.length);
    },
  });
  const port = await mesh.listen();
  const running = mesh.run(signal);
  const registration = encodeGateway({
    gateway: settings.instance,
    host: settings.ip,
    port,
  });
  runTask('registration', logger, () =>
    keepRegistered(GATEWAYS_TOPIC, settings.instance, registration, {
      store,
      clock,
      random,
      signal,
      onFailure: message => logger.warn('registration_failed', {message}),
    }),
  );
  const stop = async () => {
    ended.abort();
    gateway.stopListening();
    gateway.close();
    readiness.close();
    readiness.closeAllConnections();
    await running;
  };
  return {
    logger,
    ports: {
      callers: callersPort,
      readiness: (readiness.address() as AddressInfo).port,
    },
    reload: () => logger.info('settings_reloaded'),
    shutDown: async reason => {
      if (state.isLeaving) {
        return;
      }
      state.isLeaving = true;
      logger.info('leaving', {reason, open: gateway.openRequests});
      const grace =
        settings.bounds.stopGraceMilliseconds - STOP_RESERVE_MILLISECONDS;
      await clock.sleep(LEAVING_NOTICE_MILLISECONDS);
      gateway.stopListening();
      await gateway.finish(grace - LEAVING_NOTICE_MILLISECONDS);
      logger.info('ended', {open: gateway.openRequests});
      await stop();
    },
    stop,
  };
}

function createParts(
  settings: InstanceSettings,
  logger: EventLogger,
  state: {readonly isLeaving: boolean},
  onLeaving: (entry: EndpointEntry, reason: LeavingReason) => void,
): ForwardingParts {
  const clock = STEADY_CLOCK;
  const dialect = new RequestDialect();
  return {
    dialect,
    client: new EndpointClient(dialect),
    endpoints: new EndpointRegistry({
      heartbeatMilliseconds: settings.heartbeatMilliseconds,
      now: () => clock.now(),
      onLeaving,
      onReady: entry =>
        logger.info('endpoint_ready', {
          endpoint: entry.id,
          service: entry.service,
          availability_zone: entry.availabilityZone,
          address: `${entry.host}:${entry.port}`,
          cold: entry.coldMilliseconds,
        }),
    }),
    loads: new EndpointLoads({
      now: () => clock.now(),
      hopMilliseconds: entry => computeHop(settings, entry),
    }),
    retryBudgets: new RetryBudgets({
      ratio: settings.bounds.retryRatio,
      slack: settings.bounds.retrySlack,
    }),
    regionOf: zone => settings.regionsByAvailabilityZone.get(zone),
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

function createGateway(
  settings: InstanceSettings,
  parts: ForwardingParts,
  known: StoreKnowledge,
  guard: ContactGuard,
): ForwardingGateway {
  const {revocationMilliseconds, configurationMilliseconds} = settings.bounds;
  return new ForwardingGateway(parts, {
    knowledge: () => ({
      configuration: known.configuration,
      ageMilliseconds: guard.ageMilliseconds(),
    }),
    bounds: {
      keyAgeMilliseconds: revocationMilliseconds * KEY_AGE_SHARE,
      denialAgeMilliseconds: configurationMilliseconds * DENIAL_AGE_SHARE,
    },
  });
}

function createMesh(
  settings: InstanceSettings,
  parts: ForwardingParts,
  gateway: ForwardingGateway,
): GatewayMesh {
  const {loads, clock, logger} = parts;
  const mesh: GatewayMesh = new GatewayMesh({
    gateway: settings.instance,
    host: settings.ip,
    port: settings.internalPort ?? 0,
    clock,
    logger,
    startedAt: Date.now(),
    readWork: () => gateway.readWork(),
    onNews: news => {
      loads.setOthersWork(news.gateway, news.work);
      mesh
        .forgetSilent(SILENT_GATEWAY_MILLISECONDS)
        .forEach(silent => loads.forgetGateway(silent));
    },
  });
  return mesh;
}

/** Moves runs off an endpoint, in turn with the other gateways. */
async function evacuate(
  entry: EndpointEntry,
  gateway: ForwardingGateway,
  mesh: GatewayMesh,
): Promise<void> {
  mesh.tell();
  const turn = new EvacuationTurn(entry.id, mesh, STEADY_CLOCK);
  await gateway.evacuate(entry, turn, () => mesh.tell());
  mesh.tell();
}
