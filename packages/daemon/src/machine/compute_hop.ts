/**
 * The distance from an instance to an endpoint.
 */
import type {EndpointEntry} from '@briarpin/coordination';
import type {InstanceSettings} from '@briarpin/machines';

/** Round trips by distance, in milliseconds. */
const SAME_REGION_HOP_MILLISECONDS = 2;
const OTHER_REGION_HOP_MILLISECONDS = 24;

/**
 * Computes the time to an endpoint and back.
 *
 * @param settings - Where this instance is
 * @param entry - The endpoint
 * @returns Milliseconds; 0 within one availability zone
 */
export function computeHop(
  settings: InstanceSettings,
  entry: EndpointEntry,
): number {
  if (entry.availabilityZone === settings.availabilityZone) {
    return 0;
  }
  const region = settings.regionsByAvailabilityZone.get(entry.availabilityZone);
  return region === settings.region
    ? SAME_REGION_HOP_MILLISECONDS
    : OTHER_REGION_HOP_MILLISECONDS;
}
