/**
 * Constructs the exchange by which the gateways that do not read the
 * configuration learn from those that do how recent their own one is.
 */
import {
  FreshnessExchange,
  MONOTONIC_CLOCK,
  rankByRendezvous,
} from '@briarpin/coordination';
import type {ForwardingContext, GatewayMesh} from '@briarpin/forwarding';
import {OPERATORS_TOPIC, type InstanceSettings} from '@briarpin/machines';
import type {EventLogger} from '@briarpin/telemetry';

import type {MachineState} from './machine_state.js';
import {selectReadersOf} from './select_readers_of.js';

/**
 * Part of the revocation bound within which a gateway must know of a change of
 * the configuration; what is left covers the rejection of keys by their age.
 */
const REVOCATION_SHARE = 0.8;

/**
 * Part of the evacuation bound within which a gateway must know of an evacuated
 * zone; what is left covers requests that are being sent.
 */
const EVACUATION_SHARE = 0.8;

/** Components used by {@link createConfigurationFreshness}. */
export interface FreshnessContext extends Pick<
  MachineState,
  'store' | 'storeState' | 'stalenessTracker' | 'evacuatedZones'
> {
  /** Returns the connection to the other gateways. */
  readonly mesh: () => GatewayMesh;
  readonly endpoints: () => ForwardingContext['endpoints'];
  readonly logger: () => EventLogger;
}

/**
 * Creates the exchange by which gateways confirm their configuration.
 *
 * @param settings - Bounds and name of the gateway
 * @param context - Own configuration, and components constructed later
 */
export function createConfigurationFreshness(
  {bounds, instance}: InstanceSettings,
  {
    store,
    storeState,
    stalenessTracker,
    evacuatedZones,
    mesh,
    endpoints,
    logger,
  }: FreshnessContext,
): FreshnessExchange {
  const selectConfigurationReaders = () =>
    selectReadersOf(OPERATORS_TOPIC, {mesh: mesh(), store});
  return new FreshnessExchange({
    clock: MONOTONIC_CLOCK,
    random: Math.random,
    stalenessTracker,
    evacuatedZones,
    boundMilliseconds: Math.min(
      bounds.configurationMilliseconds,
      bounds.revocationMilliseconds * REVOCATION_SHARE,
      bounds.evacuationMilliseconds * EVACUATION_SHARE,
    ),
    version: () => storeState.configuration?.version,
    isReader: () => selectConfigurationReaders().includes(instance),
    // Each gateway asks the readers in an order of its own.
    findReaders: () =>
      rankByRendezvous(
        selectConfigurationReaders().filter(reader => reader !== instance),
        instance,
      ),
    sendMessage: (gateway, message) =>
      mesh().sendMessage('freshness', [gateway], message),
    hasHeardAllOthers: () => {
      const {knownGateways, reachableGateways} = mesh();
      return (
        knownGateways.length > 0 &&
        knownGateways.every(gateway => reachableGateways.includes(gateway))
      );
    },
    onStoreBehind: version =>
      logger().warn('configuration_not_confirmed', {heard_version: version}),
    // Endpoints may be read infrequently, but an answer about the configuration
    // also proves that the store was available.
    onConfirmed: () =>
      endpoints().recordStoreResponse(
        MONOTONIC_CLOCK.now() - stalenessTracker.ageMilliseconds(),
      ),
    onMalformed: reason =>
      logger().warn('freshness_message_broken', {message: reason}),
  });
}
