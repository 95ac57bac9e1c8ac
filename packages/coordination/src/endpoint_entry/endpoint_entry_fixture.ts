/**
 * Entries for tests.
 */
import type {EndpointEntry} from './endpoint_entry.js';

/**
 * Creates the entry of a ready endpoint.
 *
 * @param change - Fields that replace or extend the default ones
 */
export function createTestEntry(
  change: Partial<EndpointEntry> = {},
): EndpointEntry {
  return {
    id: 'a',
    service: 'text',
    host: '10.0.0.1',
    port: 8_000,
    availabilityZone: 'a',
    softwareVersion: 'v1',
    state: 'ready',
    slots: 4,
    coldMilliseconds: 0,
    ...change,
  };
}
