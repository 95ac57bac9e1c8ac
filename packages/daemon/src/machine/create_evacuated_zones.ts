/**
 * Constructs the set of evacuated zones, and logs its changes.
 */
import {EvacuatedZones} from '@briarpin/coordination';
import type {ForwardingContext} from '@briarpin/forwarding';

/** Components that a change of the evacuated zones concerns. */
export type ZoneChangeContext = Pick<
  ForwardingContext,
  'coldEndpoints' | 'endpoints' | 'loads' | 'logger'
>;

/**
 * Creates the set of evacuated zones. When an evacuation ends, the endpoints of
 * the zone become cold.
 *
 * @param context - Returns the components, which are constructed later
 */
export function createEvacuatedZones(
  context: () => ZoneChangeContext,
): EvacuatedZones {
  return new EvacuatedZones({
    onEvacuated: zone => logChange('zone_evacuated', zone, context()),
    onRestored: zone => {
      logChange('zone_restored', zone, context());
      context().coldEndpoints.recordRestored(zone);
    },
  });
}

/** Logs a change with the open requests of this gateway in the zone. */
function logChange(
  event: 'zone_evacuated' | 'zone_restored',
  zone: string,
  {logger, loads, endpoints}: ZoneChangeContext,
): void {
  const open = [...loads.localWork]
    .filter(([id]) => endpoints.find(id)?.availabilityZone === zone)
    .reduce((sum, [, {requests}]) => sum + requests, 0);
  logger.info(event, {availability_zone: zone, open});
}
