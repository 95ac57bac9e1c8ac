/**
 * Priority of a request in the admission queue.
 */

/** Configured priorities of a request; 0 is the most urgent. */
export interface ConfiguredPriorities {
  /** Absent if the organisation has none. */
  readonly organisation?: number;
  readonly route: number;
}

/**
 * Computes the priority of a request among those that wait for an engine.
 *
 * The priority of the organisation goes first. Where most organisations have the
 * same one, it alone would put short urgent requests behind long ones, so the
 * route decides between equals: its most urgent requests go before the others.
 *
 * @param priorities - Priorities of the organisation and of the route
 * @returns The priority; 0 is the most urgent
 *
 * @example
 * computeAdmissionPriority({organisation: 1, route: 0}); //=> 0
 * computeAdmissionPriority({organisation: 1, route: 2}); //=> 1
 */
export function computeAdmissionPriority({
  organisation,
  route,
}: ConfiguredPriorities): number {
  if (organisation === undefined) {
    return route;
  }
  if (organisation <= 0) {
    return 0;
  }
  return organisation - 1 + (route <= 0 ? 0 : 1);
}
