/**
 * Compares the incarnations of two entries.
 */
import type {EndpointEntry} from '../endpoint_entry/endpoint_entry.js';

/** What an entry tells of its incarnation. */
export type IncarnationEvidence = Pick<
  EndpointEntry,
  'startedAt' | 'softwareVersion'
>;

/**
 * Returns whether two entries of an endpoint are of the same incarnation. An
 * endpoint has other software only after a restart, also if it does not state
 * when it started.
 *
 * @param entry - Entry of an endpoint
 * @param otherEntry - Another entry of the same endpoint
 * @returns True if nothing shows that they are of different incarnations
 *
 * @example
 * isOfSameIncarnation({...entry, sequence: 2}, {...entry, sequence: 1}); //=> true
 */
export function isOfSameIncarnation(
  entry: IncarnationEvidence,
  otherEntry: IncarnationEvidence,
): boolean {
  return (
    entry.startedAt === otherEntry.startedAt &&
    entry.softwareVersion === otherEntry.softwareVersion
  );
}
