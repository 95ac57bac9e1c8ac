/**
 * Constructs the components of a gateway on a machine that serve requests.
 */
import {
  EndpointRegistry,
  MONOTONIC_CLOCK,
  type EndpointEntry,
  type EntrySource,
  type LeavingReason,
} from '@briarpin/coordination';
import {
  ColdEndpoints,
  CrashQuarantine,
  EndpointClient,
  EndpointDoubts,
  EndpointEligibility,
  EndpointEnds,
  EndpointLimits,
  EndpointLoads,
  EngineQueue,
  GatewayReturns,
  OrganisationWorkCounts,
  RequestDurations,
  RetryBudgets,
  Shutdown,
  MemoryBudget,
  computeMemoryLimit,
  StreamOrigins,
  type EndpointDoubt,
  type ForwardingContext,
  type OriginTransport,
} from '@briarpin/forwarding';
import {
  identifyEndpoint,
  RequestDialect,
  type InstanceSettings,
} from '@briarpin/machines';
import type {SuspicionRecord} from '@briarpin/messages';
import {probeListener} from '@briarpin/platform';

import {computeRoundTripMilliseconds} from './compute_round_trip_milliseconds.js';
import type {Telemetry} from './create_telemetry.js';
import type {MachineState} from './machine_state.js';

/**
 * Callbacks from the components to those that are constructed from them, the
 * gateway and the mesh.
 */
export interface ForwardingCallbacks {
  readonly onLeaving: (entry: EndpointEntry, reason: LeavingReason) => void;
  readonly onReady: (entry: EndpointEntry, source: EntrySource) => void;
  readonly onWorkStarted: () => void;
  readonly onSuspicion: (record: SuspicionRecord) => void;
  readonly onDoubt: (doubt: EndpointDoubt) => void;
  readonly originTransport: () => OriginTransport;
  readonly reachableGateways: () => readonly string[];
}

/**
 * Creates the components that serve requests.
 *
 * @param settings - Settings of the instance
 * @param telemetry - Logger, histograms and metrics
 * @param state - Provides the suspicions, the configuration and evacuated zones
 * @param callbacks - Called by the components
 */
export function createForwardingContext(
  settings: InstanceSettings,
  {logger, histograms, metrics}: Telemetry,
  state: Pick<
    MachineState,
    'suspicionTable' | 'endpointsRead' | 'storeState' | 'evacuatedZones'
  >,
  {
    onLeaving,
    onReady,
    onWorkStarted,
    onSuspicion,
    onDoubt,
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
  const identify = ({service, ...address}: EndpointEntry) => {
    const described = state.storeState.configuration?.services.get(service);
    return identifyEndpoint({
      address,
      healthPath: described?.healthPath ?? '/',
      isEngine: described?.engine !== undefined,
    });
  };
  const doubts = new EndpointDoubts({
    endpoints,
    now: () => clock.now(),
    identify,
    onDoubt,
  });
  const probe = async (endpoint: EndpointEntry) => {
    const state = await probeListener(endpoint);
    if (state === 'not_listening') {
      doubts.recordRefusal(endpoint);
    }
    return state;
  };
  const quarantine = new CrashQuarantine({
    table: state.suspicionTable,
    endpoints,
    now: () => clock.now(),
    random: Math.random,
    gateway: settings.instance,
    wallClockMilliseconds: () => Date.now(),
    probeListener: probe,
    logger,
    onSuspicion,
  });
  const endpointEnds = new EndpointEnds({
    endpoints,
    identify,
    onEnded: endpoint => {
      doubts.recordRefusal(endpoint);
      quarantine.recordEnd(endpoint);
    },
  });
  const coldEndpoints = new ColdEndpoints({
    gateway: settings.instance,
    findReportingGateways: reachableGateways,
    now: () => clock.now(),
    wallClockMilliseconds: () => Date.now(),
    findService: name => state.storeState.configuration?.services.get(name),
    logger,
    metrics,
  });
  const regionOf = (zone: string) =>
    settings.regionsByAvailabilityZone.get(zone);
  return {
    dialect,
    client: new EndpointClient(dialect, limits, {
      hasEnded: endpoint => endpointEnds.hasEnded(endpoint),
      onRefused: endpoint => doubts.recordRefusal(endpoint),
      onLeaving: endpoint => endpoints.markDrainingFromResponse(endpoint),
      onSend: endpoint => coldEndpoints.recordSend(endpoint),
    }),
    limits,
    endpoints,
    coldEndpoints,
    eligibility: new EndpointEligibility({
      endpoints,
      doubts,
      limits,
      configuration: () => state.storeState.configuration,
      evacuatedZones: state.evacuatedZones,
      coldEndpoints,
      regionOf,
    }),
    endpointsRead: state.endpointsRead,
    quarantine,
    doubts,
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
      logger,
    }),
    retryBudgets: new RetryBudgets({
      ratio: settings.bounds.retryRatio,
      slack: settings.bounds.retrySlack,
      windowMilliseconds: settings.bounds.retryWindowMilliseconds,
      now: () => clock.now(),
    }),
    regionOf,
    clock,
    random: Math.random,
    logger,
    histograms,
    metrics,
    onWorkStarted,
    shutdown: new Shutdown(clock),
    memory: new MemoryBudget(computeMemoryLimit(settings.memoryMegabytes)),
    durations: new RequestDurations(),
    gatewayReturns: new GatewayReturns({clock, reachableGateways}),
    queuesForEngines: () => settings.queuesForEngines,
    engineQueue: new EngineQueue({clock, random: Math.random}),
    organisationWork: new OrganisationWorkCounts(() => clock.now()),
  };
}
