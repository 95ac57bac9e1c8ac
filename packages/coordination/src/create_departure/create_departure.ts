/**
 * Creates the report of a departure to other processes.
 */
import type {
  EndpointDeparture,
  EndpointEntry,
  LeavingReason,
} from '../endpoint_entry/endpoint_entry.js';

/**
 * Creates the report of a departure, which names what it rests on. Each process
 * reports only what it knows itself.
 *
 * @param entry - Last known entry of the incarnation
 * @param reason - Why it receives no more work
 * @returns The report; undefined for what another process has reported
 *
 * @example
 * createDeparture(entry, 'restarted')?.hasNotice; //=> false
 */
export function createDeparture(
  {id, startedAt, sequence}: EndpointEntry,
  reason: LeavingReason,
): EndpointDeparture | undefined {
  if (reason === 'told_by_peer') {
    return undefined;
  }
  const hasNotice = reason === 'draining' || reason === 'told_by_endpoint';
  return {id, startedAt, sequence, hasNotice};
}
