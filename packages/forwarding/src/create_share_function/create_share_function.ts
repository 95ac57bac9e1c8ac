/**
 * Evacuation shares of the engines of one service.
 */
import type {EndpointEntry, RoutedService} from '@briarpin/coordination';

import {computeEvacuationShare} from '../compute_evacuation_share/compute_evacuation_share.js';

/** Options of {@link createShareFunction}. */
export interface ShareFunctionOptions {
  /** Counts the tokens of the work of all gateways at an endpoint. */
  readonly countTokens: (endpointId: string) => number;
  /** Finds the endpoints of a service that only finish their work. */
  readonly findDraining: (service: string) => readonly EndpointEntry[];
}

/**
 * Returns the function that computes evacuation shares; 0 without moves.
 *
 * @param entries - Endpoints of the service that accept work
 * @param service - The service; undefined is handled as a plain service
 * @param options - Work and further endpoints of the service
 * @returns Function from an endpoint to its share
 */
export function createShareFunction(
  entries: readonly EndpointEntry[],
  service: RoutedService | undefined,
  {countTokens, findDraining}: ShareFunctionOptions,
): (entry: EndpointEntry) => number {
  const engine = service?.engine;
  if (engine?.supportsMoves !== true) {
    return () => 0;
  }
  const readMemory = (entry: EndpointEntry) => ({
    ...entry,
    usedTokens: countTokens(entry.id),
  });
  const draining = findDraining(service?.name ?? '');
  const group = {
    ready: entries.map(readMemory),
    draining: draining.map(readMemory),
  };
  return memoize(
    ({availabilityZone, softwareVersion}) =>
      JSON.stringify([availabilityZone, softwareVersion]),
    entry =>
      computeEvacuationShare(readMemory(entry), group, engine.memoryTokens),
  );
}

/** Returns a function that computes one value for all arguments of a key. */
function memoize<Argument, Value>(
  getKey: (argument: Argument) => string,
  compute: (argument: Argument) => Value,
): (argument: Argument) => Value {
  const values = new Map<string, Value>();
  return argument => {
    const key = getKey(argument);
    const value = values.get(key) ?? compute(argument);
    values.set(key, value);
    return value;
  };
}
