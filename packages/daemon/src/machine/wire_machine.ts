/**
 * Builds a gateway on a machine whose platform writes the settings; the one
 * module that constructs its parts.
 */
import {
  StalenessTracker,
  EndpointRegistry,
  keepRegistered,
  selectReaders,
  MONOTONIC_CLOCK,
  type EndpointEntry,
  type EntrySource,
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
  ENDPOINTS_TOPIC,
  KeyedStore,
  RequestDialect,
  type InstanceSettings,
} from '@briarpin/machines';
import {runTask, type EventLogger} from '@briarpin/telemetry';

import {computeHop} from './compute_hop.js';
import {createTelemetry, type Telemetry} from './create_telemetry.js';
import {readNews, takeNews} from './exchange_news.js';
import {finishWork} from './finish_work.js';
import {encodeGateway, followStore, GATEWAYS_TOPIC} from './follow_store.js';
import type {MachineState} from './machine_state.js';
import {RecentlySeen} from './recently_seen.js';
import {startServers, type ServerPorts} from './start_servers.js';

/**
 * Part of the revocation bound after which keys are refused; the rest covers
 * the drift of clocks and late timers.
 */
const KEY_AGE_SHARE = 0.9;

/** Part of the configuration bound after which nothing is denied. */
const DENIAL_AGE_SHARE = 0.8;

/**
 * Age of what a gateway has read at which it does not count as one that
 * reaches the store: above the longest time for which the store holds a read of
 * the configuration.
 */
const CONTACT_AGE_MILLISECONDS = 3_000;

/** Time for which a departure is told: several datagrams may be lost. */
const DEPARTURE_TOLD_MILLISECONDS = 2_500;

/** Time for which an arrival is told: two regular reports of a large fleet. */
const ARRIVAL_TOLD_MILLISECONDS = 1_000;

/** A gateway that is running. */
export interface RunningMachine {
  readonly logger: EventLogger;
  /** Ports that were bound. */
  readonly ports: MachinePorts;
  /** Takes changed settings. */
  readonly reload: (settings: InstanceSettings) => void;
  /** Finishes what is open within the grace, then ends. */
  readonly shutDown: (reason: string) => Promise<void>;
  /** Ends at once. */
  readonly stop: () => Promise<void>;
}

/** Ports of a gateway. */
export interface MachinePorts extends ServerPorts {
  readonly callers: number;
}

/**
 * Starts a gateway.
 *
 * @param settings - Settings of the instance
 * @param logStream - Where its log goes
 * @returns The running gateway
 * @throws Error when an address cannot be bound
 */
export async function startMachineGateway(
  settings: InstanceSettings,
  logStream: NodeJS.WritableStream,
): Promise<RunningMachine> {
  const state: MachineState = {
    known: {hasEndpoints: false},
    guard: new StalenessTracker({
      monotonicMilliseconds: () => performance.now(),
      wallClockMilliseconds: () => Date.now(),
    }),
    ended: new AbortController(),
    departures: new RecentlySeen(MONOTONIC_CLOCK, DEPARTURE_TOLD_MILLISECONDS),
    arrivals: new RecentlySeen(MONOTONIC_CLOCK, ARRIVAL_TOLD_MILLISECONDS),
    isLeaving: false,
    endpointsReadAt: Number.NEGATIVE_INFINITY,
  };
  const telemetry = createTelemetry(settings, logStream, {
    openRequests: () => gateway.openRequests,
    configurationVersion: () => state.known.configuration?.version ?? 0,
    storeAgeMilliseconds: () => state.guard.ageMilliseconds(),
    readyEndpoints: () => parts.endpoints.readyCount,
  });
  const {logger} = telemetry;
  const parts = createParts(settings, telemetry, state, {
    onLeaving: (entry, reason) => {
      logger.info('endpoint_leaving', {endpoint: entry.id, reason});
      parts.loads.removeAverages(entry.id);
      state.departures.add(entry);
      runTask('evacuation', logger, () => evacuate(entry, gateway, mesh));
    },
    onReady: (entry, source) => {
      logger.info('endpoint_ready', {
        endpoint: entry.id,
        service: entry.service,
        availability_zone: entry.availabilityZone,
        address: `${entry.host}:${entry.port}`,
        cold: entry.coldMilliseconds,
        source,
      });
      // The first snapshot holds nothing that is new to the others.
      if (source === 'store' && state.known.hasEndpoints) {
        state.arrivals.add(entry);
      }
    },
    onWorkBegun: () => mesh.broadcast(),
  });
  const gateway = createGateway(settings, parts, state);
  const mesh = createMesh(settings, parts, gateway, state);
  const servers = await startServers(settings, state, telemetry);
  const callers = await gateway.listen(settings.callerAddress);
  const meshPort = await mesh.listen();
  const running = mesh.run(state.ended.signal);
  startFollowing(settings, parts, {state, gateway, mesh, meshPort});
  const stop = async () => {
    state.ended.abort();
    gateway.stopListening();
    gateway.close();
    servers.close();
    await running;
  };
  return {
    logger,
    ports: {callers, ...servers.ports},
    reload: changed => {
      const isSame = JSON.stringify(changed) === JSON.stringify(settings);
      logger.info('settings_reloaded', {changed: !isSame});
    },
    shutDown: async reason => {
      if (state.isLeaving) {
        return;
      }
      state.isLeaving = true;
      logger.info('leaving', {reason, open: gateway.openRequests});
      await finishWork(settings, parts, gateway);
      logger.info('ended', {open: gateway.openRequests});
      await stop();
    },
    stop,
  };
}

interface FollowingParts {
  readonly state: MachineState;
  readonly gateway: ForwardingGateway;
  readonly mesh: GatewayMesh;
  readonly meshPort: number;
}

/** Keeps up with the store and tells the other gateways where this one is. */
function startFollowing(
  settings: InstanceSettings,
  parts: ForwardingParts,
  {state, gateway, mesh, meshPort}: FollowingParts,
): void {
  const {clock, random, logger, endpoints, retryBudgets} = parts;
  const store = new KeyedStore(settings.storeAddress);
  const {signal} = state.ended;
  followStore({
    store,
    clock,
    random,
    logger,
    signal,
    known: state.known,
    guard: state.guard,
    endpoints,
    bounds: settings.bounds,
    isReader: () => {
      const others = mesh.findGatewaysReachingStore(CONTACT_AGE_MILLISECONDS);
      const {gateway: self} = mesh;
      return selectReaders([self, ...others], ENDPOINTS_TOPIC).includes(self);
    },
    toldEndpointsAgeMilliseconds: () =>
      mesh.computeReceivedEndpointsAgeMilliseconds(),
    onEndpointsRead: () => (state.endpointsReadAt = clock.now()),
    onConfiguration: configuration => gateway.applyLimits(configuration.limits),
    onGateways: gateways => {
      mesh.setPeers(gateways);
      retryBudgets.setGateways(gateways.length);
    },
  });
  const {instance, ip} = settings;
  const registration = encodeGateway({
    gateway: instance,
    host: ip,
    port: meshPort,
  });
  runTask('registration', logger, () =>
    keepRegistered(GATEWAYS_TOPIC, instance, registration, {
      store,
      clock,
      random,
      signal,
      onFailure: message => logger.warn('registration_failed', {message}),
    }),
  );
}

/** What the parts tell those that are built after them. */
interface PartListeners {
  readonly onLeaving: (entry: EndpointEntry, reason: LeavingReason) => void;
  readonly onReady: (entry: EndpointEntry, source: EntrySource) => void;
  readonly onWorkBegun: () => void;
}

function createParts(
  settings: InstanceSettings,
  {logger, histograms, metrics}: Telemetry,
  state: {readonly isLeaving: boolean},
  {onLeaving, onReady, onWorkBegun}: PartListeners,
): ForwardingParts {
  const clock = MONOTONIC_CLOCK;
  const dialect = new RequestDialect();
  return {
    dialect,
    client: new EndpointClient(dialect),
    endpoints: new EndpointRegistry({
      heartbeatMilliseconds: settings.heartbeatMilliseconds,
      now: () => clock.now(),
      onLeaving,
      onReady,
    }),
    loads: new EndpointLoads({
      now: () => clock.now(),
      roundTripMilliseconds: entry => computeHop(settings, entry),
    }),
    retryBudgets: new RetryBudgets({
      ratio: settings.bounds.retryRatio,
      slack: settings.bounds.retrySlack,
      windowMilliseconds: settings.bounds.retryWindowMilliseconds,
      now: () => clock.now(),
    }),
    regionOf: zone => settings.regionsByAvailabilityZone.get(zone),
    clock,
    random: Math.random,
    logger,
    histograms,
    metrics,
    onWorkBegun,
    isLeaving: () => state.isLeaving,
  };
}

function createGateway(
  settings: InstanceSettings,
  parts: ForwardingParts,
  {known, guard}: MachineState,
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
  state: MachineState,
): GatewayMesh {
  const {clock, logger} = parts;
  const mesh: GatewayMesh = new GatewayMesh({
    gateway: settings.instance,
    host: settings.ip,
    port: settings.internalPort ?? 0,
    clock,
    logger,
    startedAt: Date.now(),
    createReport: () => readNews(gateway, state, clock.now()),
    onReport: news => takeNews(news, parts, mesh),
  });
  return mesh;
}

/** Moves runs off an endpoint, in turn with the other gateways. */
async function evacuate(
  entry: EndpointEntry,
  gateway: ForwardingGateway,
  mesh: GatewayMesh,
): Promise<void> {
  mesh.broadcast();
  const turn = new EvacuationTurn(entry.id, mesh, MONOTONIC_CLOCK);
  await gateway.evacuator.evacuate(entry, turn, () => mesh.broadcast());
  mesh.broadcast();
}
