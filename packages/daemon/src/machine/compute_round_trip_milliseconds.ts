/**
 * Estimates the network round-trip time from an instance to an endpoint.
 */
import type {EndpointEntry} from '@briarpin/coordination';
import type {InstanceSettings} from '@briarpin/machines';

/** Round-trip time to another availability zone of the same region. */
const SAME_REGION_ROUND_TRIP_MILLISECONDS = 2;

/** Round-trip time to another region; also used for unknown zones. */
const OTHER_REGION_ROUND_TRIP_MILLISECONDS = 24;

/**
 * Computes the estimated round-trip time to an endpoint.
 *
 * @param settings - Settings of this instance
 * @param entry - Entry of the endpoint
 * @returns Milliseconds; 0 within one availability zone
 */
export function computeRoundTripMilliseconds(
  settings: InstanceSettings,
  entry: EndpointEntry,
): number {
  if (entry.availabilityZone === settings.availabilityZone) {
    return 0;
  }
  const region = settings.regionsByAvailabilityZone.get(entry.availabilityZone);
  return region === settings.region
    ? SAME_REGION_ROUND_TRIP_MILLISECONDS
    : OTHER_REGION_ROUND_TRIP_MILLISECONDS;
}
