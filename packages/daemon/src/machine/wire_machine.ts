/**
 * Composition root of a gateway on a machine whose platform writes the
 * settings: constructs all of its components.
 */
import {
  AwaitedRead,
  createDeparture,
  StalenessTracker,
  SuspicionTable,
  MONOTONIC_CLOCK,
  type EndpointEntry,
} from '@briarpin/coordination';
import {
  ForwardingGateway,
  EvacuationTurn,
  type GatewayMesh,
  type ForwardingContext,
} from '@briarpin/forwarding';
import {KeyedStore, type InstanceSettings} from '@briarpin/machines';
import {runTask, type EventLogger} from '@briarpin/telemetry';

import {createConfigurationFreshness} from './create_configuration_freshness.js';
import {createEvacuatedZones} from './create_evacuated_zones.js';
import {createForwardingContext} from './create_forwarding_context.js';
import {recordEndpointEnd} from './record_endpoint_end.js';
import {createTelemetry} from './create_telemetry.js';
import {createMesh} from './create_mesh.js';
import type {StoreState} from './follow_store.js';
import type {MachineState} from './machine_state.js';
import {ExpiringList} from './expiring_list.js';
import {ObservedStore} from './observed_store.js';
import {startFollowingStore} from './start_following_store.js';
import {startServers, type ServerPorts} from './start_servers.js';
import {StoreCallLog} from './store_call_log.js';

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

/** Time for which reports include an endpoint in doubt; like that of a departure. */
const DOUBT_REPORT_MILLISECONDS = 2_500;

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
   *
   * @param reason - What asks for it
   * @param askedAt - Start of the grace period on the monotonic clock; now by
   *     default
   */
  readonly shutDown: (reason: string, askedAt?: number) => Promise<void>;
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
  const storeState: StoreState = {hasEndpoints: false};
  const stalenessTracker = new StalenessTracker({
    monotonicMilliseconds: () => performance.now(),
    wallClockMilliseconds: () => Date.now(),
  });
  const storeCallLog = new StoreCallLog();
  const store = new ObservedStore(new KeyedStore(settings.storeAddress), {
    clock: MONOTONIC_CLOCK,
    onCall: (topic, call) => {
      storeCallLog.record(topic, call);
      telemetry.metrics.countStoreCall(topic, call);
    },
  });
  const evacuatedZones = createEvacuatedZones(() => components);
  const state: MachineState = {
    storeState,
    evacuatedZones,
    stalenessTracker,
    store,
    configurationFreshness: createConfigurationFreshness(settings, {
      store,
      storeState,
      stalenessTracker,
      evacuatedZones,
      mesh: () => mesh,
      endpoints: () => components.endpoints,
      logger: () => logger,
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
    recentDoubts: new ExpiringList(MONOTONIC_CLOCK, DOUBT_REPORT_MILLISECONDS),
    endpointsRead: new AwaitedRead({
      clock: MONOTONIC_CLOCK,
      time: stalenessTracker,
    }),
    endpointsReadAt: Number.NEGATIVE_INFINITY,
  };
  const telemetry = createTelemetry(settings, logStream, {
    openRequests: () => gateway.openRequests,
    configurationVersion: () => state.storeState.configuration?.version ?? 0,
    storeAgeMilliseconds: () => state.stalenessTracker.ageMilliseconds(),
    readyEndpoints: () => components.endpoints.readyCount,
    queue: settings.queuesForEngines
      ? {
          readOrganisations: () => components.engineQueue.summarise(),
          isAlone: () =>
            mesh.knownGateways.length > 0 &&
            mesh.reachableGateways.length === 0,
        }
      : undefined,
    heldBytes: () => components.memory.heldBytes,
    listPaces: () => components.loads.listPaces(),
  });
  const {logger} = telemetry;
  const components = createForwardingContext(settings, telemetry, state, {
    onLeaving: (entry, reason) => {
      logger.info('endpoint_leaving', {endpoint: entry.id, reason});
      components.loads.removeAverages(entry.id);
      components.limits.remove(entry.id);
      recordEndpointEnd(components.quarantine, entry, reason);
      const departure = createDeparture(entry, reason);
      if (departure !== undefined) {
        state.departures.add(departure);
      }
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
      if (source === 'peer') {
        components.coldEndpoints.recordEntry(entry);
      }
      if (source === 'peer' || state.storeState.hasEndpoints) {
        components.loads.startRamp(entry);
      }
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
    onDoubt: doubt => {
      logger.info('endpoint_in_doubt', {
        endpoint: doubt.id,
        software: doubt.softwareVersion,
        sequence: doubt.sequence,
      });
      state.recentDoubts.add(doubt);
      mesh.broadcast();
    },
    originTransport: () => ({
      reachableGateways: mesh.reachableGateways,
      knownGateways: mesh.knownGateways,
      sendMessage: (gateways, message) =>
        mesh.sendMessage('streamOrigins', gateways, message),
    }),
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
  runTask('store_calls', logger, () =>
    storeCallLog.run(
      {clock: MONOTONIC_CLOCK, logger},
      state.abortController.signal,
    ),
  );
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
    shutDown: (reason, askedAt = components.clock.now()) => {
      shutDown ??= (async () => {
        components.shutdown.begin({
          graceMilliseconds: settings.bounds.stopGraceMilliseconds,
          askedAt,
        });
        logger.info('leaving', {
          reason,
          open: gateway.openRequests,
          asked_ago: Math.round(components.clock.now() - askedAt),
        });
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
