/**
 * Composition root of a gateway on a machine whose platform writes the
 * settings: constructs all of its components.
 */
import {
  StalenessTracker,
  SuspicionTable,
  EndpointRegistry,
  keepRegistered,
  selectReaders,
  MONOTONIC_CLOCK,
  type EndpointEntry,
  type EntrySource,
  type LeavingReason,
} from '@briarpin/coordination';
import {
  CrashQuarantine,
  EndpointClient,
  EndpointLimits,
  EndpointLoads,
  ForwardingGateway,
  EvacuationTurn,
  GatewayMesh,
  GatewayReturns,
  RequestDurations,
  RetryBudgets,
  Shutdown,
  StreamOrigins,
  type ForwardingContext,
  type OriginTransport,
} from '@briarpin/forwarding';
import {
  ENDPOINTS_TOPIC,
  KeyedStore,
  RequestDialect,
  type InstanceSettings,
} from '@briarpin/machines';
import type {SuspicionRecord} from '@briarpin/messages';
import {probeListener} from '@briarpin/platform';
import {runTask, type EventLogger} from '@briarpin/telemetry';

import {computeRoundTripMilliseconds} from './compute_round_trip_milliseconds.js';
import {createTelemetry, type Telemetry} from './create_telemetry.js';
import {createReport, applyReport} from './exchange_reports.js';
import {encodeGateway, followStore, GATEWAYS_TOPIC} from './follow_store.js';
import type {MachineState} from './machine_state.js';
import {ExpiringList} from './expiring_list.js';
import {startServers, type ServerPorts} from './start_servers.js';

/**
 * Age of the configuration at which keys are rejected, as a fraction of the
 * revocation bound; the remainder covers clock drift and late timers.
 */
const KEY_AGE_SHARE = 0.9;

/**
 * Age of the configuration at which unknown keys and paths are no longer
 * denied, as a fraction of the configuration bound.
 */
const DENIAL_AGE_SHARE = 0.8;

/**
 * Age of the last read at which a gateway no longer counts as reaching the
 * store; above the maximum duration of a long poll of the configuration.
 */
const MAXIMUM_STORE_AGE_MILLISECONDS = 3_000;

/**
 * Time for which reports include a departure; long enough that several
 * datagrams may be lost.
 */
const DEPARTURE_REPORT_MILLISECONDS = 2_500;

/**
 * Time for which reports include an arrival: two periodic reports of a large
 * fleet.
 */
const ARRIVAL_REPORT_MILLISECONDS = 1_000;

/** Time for which reports include a suspicion; like that of a departure. */
const SUSPICION_REPORT_MILLISECONDS = 2_500;

/** Handle of a running gateway. */
export interface RunningMachine {
  readonly logger: EventLogger;
  /** Bound ports. */
  readonly ports: MachinePorts;
  /**
   * Receives settings that were read again. Only logs whether they differ from
   * those at the start; changed settings are not applied.
   */
  readonly reload: (settings: InstanceSettings) => void;
  /**
   * Drains open requests within the grace period, then stops. All calls return
   * the promise of the first one.
   */
  readonly shutDown: (reason: string) => Promise<void>;
  /** Stops immediately and closes all connections. */
  readonly stop: () => Promise<void>;
}

/** Ports of a gateway. */
export interface MachinePorts extends ServerPorts {
  readonly callers: number;
}

/**
 * Starts a gateway with its servers and background tasks.
 *
 * @param settings - Settings of the instance
 * @param logStream - Output stream of the log
 * @returns The running gateway; rejects when an address cannot be bound
 */
export async function startMachineGateway(
  settings: InstanceSettings,
  logStream: NodeJS.WritableStream,
): Promise<RunningMachine> {
  const state: MachineState = {
    storeState: {hasEndpoints: false},
    stalenessTracker: new StalenessTracker({
      monotonicMilliseconds: () => performance.now(),
      wallClockMilliseconds: () => Date.now(),
    }),
    abortController: new AbortController(),
    departures: new ExpiringList(
      MONOTONIC_CLOCK,
      DEPARTURE_REPORT_MILLISECONDS,
    ),
    arrivals: new ExpiringList(MONOTONIC_CLOCK, ARRIVAL_REPORT_MILLISECONDS),
    suspicionTable: new SuspicionTable(),
    recentSuspicions: new ExpiringList(
      MONOTONIC_CLOCK,
      SUSPICION_REPORT_MILLISECONDS,
    ),
    endpointsReadAt: Number.NEGATIVE_INFINITY,
  };
  const telemetry = createTelemetry(settings, logStream, {
    openRequests: () => gateway.openRequests,
    configurationVersion: () => state.storeState.configuration?.version ?? 0,
    storeAgeMilliseconds: () => state.stalenessTracker.ageMilliseconds(),
    readyEndpoints: () => components.endpoints.readyCount,
  });
  const {logger} = telemetry;
  const components = createForwardingContext(settings, telemetry, state, {
    onLeaving: (entry, reason) => {
      logger.info('endpoint_leaving', {endpoint: entry.id, reason});
      components.loads.removeAverages(entry.id);
      components.limits.remove(entry.id);
      recordEnd(components.quarantine, entry, reason);
      state.departures.add(entry);
      runTask('evacuation', logger, () => evacuate(entry, gateway, mesh));
    },
    onReady: (entry, source) => {
      logger.info('endpoint_ready', {
        endpoint: entry.id,
        service: entry.service,
        availability_zone: entry.availabilityZone,
        software: entry.softwareVersion,
        address: `${entry.host}:${entry.port}`,
        cold: entry.coldMilliseconds,
        source,
      });
      // The first snapshot contains no endpoints that are new to the others.
      if (source === 'store' && state.storeState.hasEndpoints) {
        state.arrivals.add(entry);
      }
    },
    onWorkStarted: () => mesh.broadcast(),
    onSuspicion: record => {
      state.recentSuspicions.add(record);
      mesh.broadcast();
    },
    originTransport: () => mesh,
    reachableGateways: () => mesh.reachableGateways,
  });
  const gateway = createGateway(settings, components, state);
  const mesh = createMesh(settings, components, gateway, state);
  const servers = await startServers(
    settings,
    state,
    telemetry,
    components.shutdown,
  );
  const callers = await gateway.listen(settings.callerAddress);
  const meshPort = await mesh.listen();
  const meshRun = mesh.run(state.abortController.signal);
  startFollowingStore(settings, components, {state, gateway, mesh, meshPort});
  const stop = async () => {
    state.abortController.abort();
    gateway.close();
    servers.close();
    await meshRun;
  };
  let shutDown: Promise<void> | undefined;
  return {
    logger,
    ports: {callers, ...servers.ports},
    reload: changed => {
      const isSame = JSON.stringify(changed) === JSON.stringify(settings);
      logger.info('settings_reloaded', {changed: !isSame});
    },
    shutDown: reason => {
      shutDown ??= (async () => {
        components.shutdown.begin(settings.bounds.stopGraceMilliseconds);
        logger.info('leaving', {reason, open: gateway.openRequests});
        mesh.broadcast();
        await gateway.drain();
        logger.info('ended', {open: gateway.openRequests});
        await stop();
      })();
      return shutDown;
    },
    stop,
  };
}

/** Components used by {@link startFollowingStore}. */
interface StoreFollowingContext {
  readonly state: MachineState;
  readonly gateway: ForwardingGateway;
  readonly mesh: GatewayMesh;
  readonly meshPort: number;
}

/** Starts following the store and registers this gateway in it. */
function startFollowingStore(
  settings: InstanceSettings,
  components: ForwardingContext,
  {state, gateway, mesh, meshPort}: StoreFollowingContext,
): void {
  const {clock, random, logger, endpoints, retryBudgets} = components;
  const store = new KeyedStore(settings.storeAddress);
  const {signal} = state.abortController;
  followStore({
    store,
    clock,
    random,
    logger,
    signal,
    storeState: state.storeState,
    stalenessTracker: state.stalenessTracker,
    endpoints,
    bounds: settings.bounds,
    suspicionTable: state.suspicionTable,
    gateway: settings.instance,
    isReader: () => {
      const others = mesh.findGatewaysReachingStore(
        MAXIMUM_STORE_AGE_MILLISECONDS,
      );
      const {gateway: self} = mesh;
      return selectReaders([self, ...others], ENDPOINTS_TOPIC).includes(self);
    },
    receivedEndpointsAgeMilliseconds: () =>
      mesh.computeReceivedEndpointsAgeMilliseconds(),
    onEndpointsRead: () => (state.endpointsReadAt = clock.now()),
    onConfiguration: configuration => gateway.applyLimits(configuration.limits),
    onGateways: gateways => {
      mesh.setPeers(gateways);
      retryBudgets.setGatewayCount(gateways.length);
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

/**
 * Callbacks from the components to those that are constructed from them, the
 * gateway and the mesh.
 */
interface ForwardingCallbacks {
  readonly onLeaving: (entry: EndpointEntry, reason: LeavingReason) => void;
  readonly onReady: (entry: EndpointEntry, source: EntrySource) => void;
  readonly onWorkStarted: () => void;
  readonly onSuspicion: (record: SuspicionRecord) => void;
  readonly originTransport: () => OriginTransport;
  readonly reachableGateways: () => readonly string[];
}

function createForwardingContext(
  settings: InstanceSettings,
  {logger, histograms, metrics}: Telemetry,
  state: Pick<MachineState, 'suspicionTable'>,
  {
    onLeaving,
    onReady,
    onWorkStarted,
    onSuspicion,
    originTransport,
    reachableGateways,
  }: ForwardingCallbacks,
): ForwardingContext {
  const clock = MONOTONIC_CLOCK;
  const dialect = new RequestDialect();
  const endpoints = new EndpointRegistry({
    heartbeatMilliseconds: settings.heartbeatMilliseconds,
    now: () => clock.now(),
    onLeaving,
    onReady,
  });
  const limits = new EndpointLimits({
    now: () => clock.now(),
    random: Math.random,
    logger,
    onLimitedRequest: onWorkStarted,
  });
  const quarantine = new CrashQuarantine({
    table: state.suspicionTable,
    endpoints,
    now: () => clock.now(),
    random: Math.random,
    gateway: settings.instance,
    wallClockMilliseconds: () => Date.now(),
    probeListener,
    logger,
    onSuspicion,
  });
  return {
    dialect,
    client: new EndpointClient(dialect, limits, {
      hasCrashed: endpoint => quarantine.hasCrashed(endpoint),
      onLeaving: endpoint => endpoints.markDrainingFromResponse(endpoint),
    }),
    limits,
    endpoints,
    quarantine,
    streamOrigins: new StreamOrigins({
      clock,
      logger,
      transport: originTransport,
    }),
    loads: new EndpointLoads({
      now: () => clock.now(),
      findDraining: service => endpoints.findDraining(service),
      roundTripMilliseconds: entry =>
        computeRoundTripMilliseconds(settings, entry),
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
    onWorkStarted,
    shutdown: new Shutdown(clock),
    durations: new RequestDurations(),
    gatewayReturns: new GatewayReturns({clock, reachableGateways}),
  };
}

function createGateway(
  settings: InstanceSettings,
  components: ForwardingContext,
  {storeState, stalenessTracker}: MachineState,
): ForwardingGateway {
  const {revocationMilliseconds, configurationMilliseconds} = settings.bounds;
  return new ForwardingGateway(components, {
    configurationSnapshot: () => ({
      configuration: storeState.configuration,
      ageMilliseconds: stalenessTracker.ageMilliseconds(),
    }),
    bounds: {
      keyAgeMilliseconds: revocationMilliseconds * KEY_AGE_SHARE,
      denialAgeMilliseconds: configurationMilliseconds * DENIAL_AGE_SHARE,
    },
  });
}

function createMesh(
  settings: InstanceSettings,
  components: ForwardingContext,
  gateway: ForwardingGateway,
  state: MachineState,
): GatewayMesh {
  const {clock, logger} = components;
  const mesh: GatewayMesh = new GatewayMesh({
    gateway: settings.instance,
    host: settings.ip,
    port: settings.internalPort ?? 0,
    clock,
    logger,
    startedAt: Date.now(),
    createReport: () => createReport(gateway, components, state, clock.now()),
    onReport: report => {
      applyReport(report, components, mesh, state);
      if (report.isFirst) {
        runTask('stream_origins', logger, () =>
          components.streamOrigins.informNewGateway(report.gateway),
        );
      }
    },
    onMessage: (message, reply) =>
      components.streamOrigins.receive(message, reply),
  });
  return mesh;
}

/**
 * Records how an endpoint ended. A peer's report does not tell whether there was
 * a notice.
 */
function recordEnd(
  quarantine: CrashQuarantine,
  entry: EndpointEntry,
  reason: LeavingReason,
): void {
  if (reason === 'draining' || reason === 'told_by_endpoint') {
    quarantine.recordShutdown(entry);
  } else if (reason !== 'told_by_peer') {
    quarantine.recordCrash(entry);
  }
}

/**
 * Moves runs from an endpoint that is shutting down, taking turns with the other
 * gateways. Broadcasts reports so that they can follow the progress.
 */
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
