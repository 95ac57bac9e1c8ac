/**
 * Starts the background tasks that follow the store and register a gateway in it.
 */
import {keepRegistered} from '@briarpin/coordination';
import type {
  ForwardingContext,
  ForwardingGateway,
  GatewayMesh,
} from '@briarpin/forwarding';
import {
  ENDPOINTS_TOPIC,
  OPERATORS_TOPIC,
  type InstanceSettings,
} from '@briarpin/machines';
import {runTask} from '@briarpin/telemetry';

import {encodeGateway, followStore, GATEWAYS_TOPIC} from './follow_store.js';
import type {MachineState} from './machine_state.js';
import {selectReadersOf} from './select_readers_of.js';

/** Components used by {@link startFollowingStore}. */
export interface StoreFollowingContext {
  readonly state: MachineState;
  readonly gateway: ForwardingGateway;
  readonly mesh: GatewayMesh;
  readonly meshPort: number;
}

/**
 * Starts following the store and registers this gateway in it.
 *
 * @param settings - Settings of the instance
 * @param components - Components that what is read concerns
 * @param context - State, gateway and mesh
 */
export function startFollowingStore(
  settings: InstanceSettings,
  components: ForwardingContext,
  {state, gateway, mesh, meshPort}: StoreFollowingContext,
): void {
  const {clock, random, logger, endpoints, retryBudgets, coldEndpoints} =
    components;
  const {store, configurationFreshness} = state;
  const {instance, ip} = settings;
  const {signal} = state.abortController;
  runTask('configuration_freshness', logger, () =>
    configurationFreshness.run(signal),
  );
  followStore({
    store,
    clock,
    random,
    logger,
    signal,
    storeState: state.storeState,
    stalenessTracker: state.stalenessTracker,
    configurationFreshness,
    evacuatedZones: state.evacuatedZones,
    endpoints,
    coldEndpoints,
    endpointsRead: state.endpointsRead,
    isReadAwaited: () => state.endpointsRead.isAwaited,
    bounds: settings.bounds,
    suspicionTable: state.suspicionTable,
    gateway: settings.instance,
    isReader: () =>
      selectReadersOf(ENDPOINTS_TOPIC, {mesh, store}).includes(instance),
    receivedEndpointsAgeMilliseconds: () =>
      mesh.computeReceivedEndpointsAgeMilliseconds(),
    onEndpointsRead: () => (state.endpointsReadAt = clock.now()),
    onConfiguration: configuration => {
      gateway.applyLimits(configuration.limits);
      if (selectReadersOf(OPERATORS_TOPIC, {mesh, store}).includes(instance)) {
        mesh.broadcast();
      }
    },
    onGateways: gateways => {
      mesh.setPeers(gateways);
      retryBudgets.setGatewayCount(gateways.length);
      coldEndpoints.setGateways(gateways.map(({gateway: name}) => name));
    },
  });
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
