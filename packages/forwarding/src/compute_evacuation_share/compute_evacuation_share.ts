/**
 * Computes how full the engines that would take over the runs of an engine are.
 */

/** Memory use of an engine. */
export interface EngineMemory {
  readonly availabilityZone: string;
  /** Runs can only be moved to engines with the same version. */
  readonly softwareVersion: string;
  /** Memory used by its work, in tokens. */
  readonly usedTokens: number;
}

/** Engines of a service. */
export interface EngineGroup {
  /** Engines that accept work. */
  readonly ready: readonly EngineMemory[];
  /** Engines that shut down, whose runs move to the others. */
  readonly draining: readonly EngineMemory[];
}

/**
 * Computes the share of the memory of the engines that could take over an
 * engine's runs that would be in use once it had stopped.
 *
 * In a service with one software version, these are the other engines of its
 * availability zone. With several, they are those of its version, in its zone and
 * in all zones, whichever are fuller; runs of draining engines need room there
 * too. An engine that alone has its version counts with its own memory, so that
 * a version is not avoided because it is new.
 *
 * @param engine - Engine that might stop
 * @param group - All engines of the service
 * @param memoryTokens - Memory of one engine, in tokens
 * @returns The share; infinite for the only engine of a zone
 */
export function computeEvacuationShare(
  engine: EngineMemory,
  group: EngineGroup,
  memoryTokens: number,
): number {
  const all = [...group.ready, ...group.draining];
  const isInZone = ({availabilityZone}: EngineMemory) =>
    availabilityZone === engine.availabilityZone;
  const isCompatible = ({softwareVersion}: EngineMemory) =>
    softwareVersion === engine.softwareVersion;
  if (all.every(isCompatible)) {
    const zone = group.ready.filter(isInZone);
    return computeShare(zone, zone.length - 1, memoryTokens);
  }
  const compatible = group.ready.filter(isCompatible);
  const compatibleInZone = compatible.filter(isInZone);
  const version = computeShare(
    all.filter(isCompatible),
    Math.max(1, compatible.length - 1),
    memoryTokens,
  );
  if (compatibleInZone.length < 2) {
    return version;
  }
  const zone = computeShare(
    all.filter(isCompatible).filter(isInZone),
    compatibleInZone.length - 1,
    memoryTokens,
  );
  return Math.max(version, zone);
}

function computeShare(
  engines: readonly EngineMemory[],
  remainingEngines: number,
  memoryTokens: number,
): number {
  const used = engines.reduce((sum, {usedTokens}) => sum + usedTokens, 0);
  return remainingEngines <= 0
    ? Number.POSITIVE_INFINITY
    : used / (remainingEngines * memoryTokens);
}
