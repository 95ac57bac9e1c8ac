/**
 * Compares the incarnations of an endpoint.
 */
import type {EndpointEntry} from '../endpoint_entry/endpoint_entry.js';
import {isOfSameIncarnation} from '../is_of_same_incarnation/is_of_same_incarnation.js';

/**
 * Returns whether an entry is of a later incarnation than another one of the same
 * endpoint. An entry of an earlier one may be written late, and proves nothing.
 *
 * @param entry - Entry that is known now
 * @param earlierEntry - Entry that was known before
 * @returns True if the endpoint has started again between the two; also if it has
 *   other software, and one of the entries does not state its start
 *
 * @example
 * isLaterIncarnation({...entry, startedAt: 2}, {...entry, startedAt: 1}); //=> true
 */
export function isLaterIncarnation(
  entry: EndpointEntry,
  earlierEntry: EndpointEntry,
): boolean {
  if (isOfSameIncarnation(entry, earlierEntry)) {
    return false;
  }
  const {startedAt = Infinity} = entry;
  const {startedAt: earlierStart = -Infinity} = earlierEntry;
  return startedAt >= earlierStart;
}
