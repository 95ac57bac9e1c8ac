/**
 * Selects the gateways that read a topic of the store on behalf of all.
 */
import {selectReaders} from '@briarpin/coordination';
import type {GatewayMesh} from '@briarpin/forwarding';

import type {ObservedStore} from './observed_store.js';

/**
 * Time without a response after which a gateway no longer counts as reaching
 * the store.
 */
const MAXIMUM_STORE_AGE_MILLISECONDS = 3_000;

/** View that a gateway has of itself and of the others. */
export interface ReaderCandidates {
  readonly mesh: Pick<
    GatewayMesh,
    'gateway' | 'findGatewaysReachingStore' | 'reachableGateways'
  >;
  readonly store: Pick<ObservedStore, 'unreachableMilliseconds'>;
}

/**
 * Selects the readers of a topic among the gateways that reach the store, or
 * among all if none does.
 *
 * @param topic - Name of the topic
 * @param candidates - This gateway and its view of the others
 * @returns Names of the readers
 */
export function selectReadersOf(
  topic: string,
  {mesh, store}: ReaderCandidates,
): readonly string[] {
  const self = mesh.gateway;
  const others = mesh.findGatewaysReachingStore(MAXIMUM_STORE_AGE_MILLISECONDS);
  if (store.unreachableMilliseconds < MAXIMUM_STORE_AGE_MILLISECONDS) {
    return selectReaders([self, ...others], topic);
  }
  return others.length > 0
    ? selectReaders(others, topic)
    : selectReaders([self, ...mesh.reachableGateways], topic);
}
