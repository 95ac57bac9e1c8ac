/**
 * Selects the gateways that read a topic of the store on behalf of all.
 */
import {selectReaders} from '@briarpin/coordination';
import type {GatewayMesh} from '@briarpin/forwarding';

/**
 * Time without a response after which a gateway no longer counts as reaching
 * the store.
 */
const MAXIMUM_STORE_AGE_MILLISECONDS = 3_000;

/**
 * Selects the readers of a topic among the gateways that reach the store.
 *
 * @param topic - Name of the topic
 * @param mesh - This gateway and its view of the others
 * @returns Names of the readers
 */
export function selectReadersOf(
  topic: string,
  mesh: Pick<GatewayMesh, 'gateway' | 'findGatewaysReachingStore'>,
): readonly string[] {
  const others = mesh.findGatewaysReachingStore(MAXIMUM_STORE_AGE_MILLISECONDS);
  return selectReaders([mesh.gateway, ...others], topic);
}
