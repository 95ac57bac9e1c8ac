/**
 * Decides what an entry of an endpoint proves, given what is known of it.
 */
import type {EndpointEntry} from '../endpoint_entry/endpoint_entry.js';
import {isOfSameIncarnation} from '../is_of_same_incarnation/is_of_same_incarnation.js';

/**
 * Heartbeats without an entry of the current incarnation after which another one
 * that has written twice meanwhile is taken for its successor.
 */
const HEARTBEATS_UNTIL_SUCCESSION = 1.5;

/**
 * Heartbeats without an entry of the current incarnation after which a single entry
 * of another one is believed: the lease of an entry in the store.
 */
const LEASE_HEARTBEATS = 3;

/** Entry of the incarnation that counts as the current one of an endpoint. */
export interface CurrentIncarnation {
  /** Its newest entry. */
  readonly entry: EndpointEntry;
  /** Monotonic time when an entry of it was last new, in milliseconds. */
  readonly heardAt: number;
}

/** What is known of an endpoint when an entry of it arrives. */
export interface EntryContext {
  /** Absent if nothing is known of the endpoint. */
  readonly current?: CurrentIncarnation;
  /** Newest entry of the entry's incarnation, if another one has replaced it. */
  readonly replacedEntry?: EndpointEntry;
  /**
   * Newest entry of the entry's incarnation that has come since the current one
   * was heard, and that did not replace it.
   */
  readonly competingEntry?: EndpointEntry;
  /** True if the current incarnation is known to have written after the entry. */
  readonly isFollowedByCurrent?: boolean;
  /** True while the store may return entries from an old copy. */
  readonly isGracePeriod: boolean;
  /** Interval between two entries of a running endpoint, in milliseconds. */
  readonly heartbeatMilliseconds: number;
  /** Monotonic time, in milliseconds. */
  readonly now: number;
}

/** What an entry proves. */
export type EntryVerdict =
  /** The first incarnation that is known of the endpoint. */
  | 'first'
  /** The current incarnation lives. */
  | 'confirms'
  /** Its incarnation has replaced the current one. */
  | 'replaces'
  /** Its incarnation has either ended, or replaced the current one. */
  | 'competes'
  /** Nothing: it was written before what is known. */
  | 'outdated';

/**
 * Decides what an entry of an endpoint proves. A write may be done late, so that an
 * entry of an incarnation that started earlier, or that was replaced before, proves
 * little. As a clock may have been set back before a start, such an incarnation
 * counts as the successor once it goes on to write while the current one does not.
 *
 * @param entry - The entry
 * @param context - What is known of the endpoint
 * @returns What the entry proves
 *
 * @example
 * judgeEntry({...entry, startedAt: 1}, {
 *   current: {entry: {...entry, startedAt: 2}, heardAt: 0},
 *   isGracePeriod: false, heartbeatMilliseconds: 1_200, now: 100,
 * }); //=> 'competes'
 */
export function judgeEntry(
  entry: EndpointEntry,
  context: EntryContext,
): EntryVerdict {
  const {current, replacedEntry} = context;
  if (current === undefined) {
    return 'first';
  }
  if (isOfSameIncarnation(entry, current.entry)) {
    return isStale(entry, current.entry) ? 'outdated' : 'confirms';
  }
  if (replacedEntry === undefined && !isEarlier(entry, current.entry)) {
    return 'replaces';
  }
  if (context.isFollowedByCurrent === true || context.isGracePeriod) {
    return 'outdated';
  }
  return hasSucceeded(entry, current, context) ? 'replaces' : 'competes';
}

/** Returns whether a silent current incarnation has been succeeded. */
function hasSucceeded(
  entry: EndpointEntry,
  {heardAt}: CurrentIncarnation,
  context: EntryContext,
): boolean {
  const {replacedEntry, competingEntry, heartbeatMilliseconds, now} = context;
  const silentHeartbeats = (now - heardAt) / heartbeatMilliseconds;
  const goesOn =
    competingEntry !== undefined && !isRepeated(entry, competingEntry);
  return (
    (goesOn && silentHeartbeats >= HEARTBEATS_UNTIL_SUCCESSION) ||
    (replacedEntry === undefined && silentHeartbeats >= LEASE_HEARTBEATS)
  );
}

/** Returns whether an entry states an earlier start than another one. */
function isEarlier(
  {startedAt}: EndpointEntry,
  {startedAt: otherStart}: EndpointEntry,
): boolean {
  return (
    startedAt !== undefined &&
    otherStart !== undefined &&
    startedAt < otherStart
  );
}

/** Returns whether an entry is not newer than another one of its incarnation. */
function isRepeated(entry: EndpointEntry, lastEntry: EndpointEntry): boolean {
  return (
    lastEntry.sequence !== undefined &&
    entry.sequence !== undefined &&
    entry.sequence <= lastEntry.sequence
  );
}

/**
 * Returns whether an entry is older than the last one of its incarnation, by its
 * sequence number or because the incarnation is already draining.
 */
function isStale(entry: EndpointEntry, lastEntry: EndpointEntry): boolean {
  const isReactivation =
    lastEntry.state === 'draining' && entry.state === 'ready';
  const isOlder = (entry.sequence ?? 0) < (lastEntry.sequence ?? 0);
  return isReactivation || isOlder;
}
