/**
 * Applies the keys by which operators evacuate availability zones.
 */
import type {EvacuatedZones, KeyedRecord} from '@briarpin/coordination';
import {decodeEvacuatedZone} from '@briarpin/machines';

/** Replaces the evacuated zones by those of a snapshot. */
export function applyEvacuationSnapshot(
  records: readonly KeyedRecord[],
  evacuatedZones: EvacuatedZones,
): void {
  const zones = records
    .filter(({value}) => value !== undefined)
    .map(({key}) => decodeEvacuatedZone(key));
  evacuatedZones.replaceAll(zones.filter(zone => zone !== undefined));
}

/** Applies records that follow a snapshot; those without a value were removed. */
export function applyEvacuationRecords(
  records: readonly KeyedRecord[],
  evacuatedZones: EvacuatedZones,
): void {
  for (const {key, value} of records) {
    const zone = decodeEvacuatedZone(key);
    if (zone !== undefined) {
      evacuatedZones.put(zone, value !== undefined);
    }
  }
}
