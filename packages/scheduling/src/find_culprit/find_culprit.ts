/**
 * Finds out which property of a request has crashed endpoints.
 */

/** Identifiers of crashes. */
export type CrashIds = Pick<ReadonlySet<string>, 'size' | 'has' | 'keys'>;

/** Crashes under which requests with one property ran. */
export interface SuspectHistory {
  /** Identifies the property: a whole request, or a part of its prompt. */
  readonly key: string;
  /** Crashes since the last complete run of a request with the property. */
  readonly crashes: CrashIds;
}

/**
 * Finds a property of a request that has crashed endpoints.
 *
 * Whatever ran beside the cause of a crash has the crash in its history, and so
 * has each part of the same prompt. A property is therefore no cause if another
 * suspect, which the request does not have, explains all of its crashes. A request
 * that tells two suspects apart may thus run: it completes, and clears the one, or
 * crashes its endpoint, and confirms it.
 *
 * @param own - Histories of the properties of the request
 * @param suspects - Histories of all properties with as many crashes as the limit
 *   or more, with or without those of the request
 * @param minimumCrashes - Crashes from which on a property may be a cause
 * @returns The cause; undefined if the request may run
 *
 * @example
 * const suspect = {key: 'a', crashes: new Set(['x', 'y'])};
 * findCulprit([suspect], [suspect], 2)?.key; //=> 'a'
 */
export function findCulprit(
  own: readonly SuspectHistory[],
  suspects: readonly SuspectHistory[],
  minimumCrashes: number,
): SuspectHistory | undefined {
  const candidates = own.filter(({crashes}) => crashes.size >= minimumCrashes);
  if (candidates.length === 0) {
    return undefined;
  }
  const ownKeys = new Set(own.map(({key}) => key));
  const others = suspects.filter(({key}) => !ownKeys.has(key));
  return candidates.find(
    ({crashes}) => !others.some(other => includesAll(other.crashes, crashes)),
  );
}

function includesAll(crashes: CrashIds, included: CrashIds): boolean {
  return [...included.keys()].every(crash => crashes.has(crash));
}
