/**
 * Exchange of crash suspicions among gateways: by reports at once, and through
 * the store for those that restart or that no report reaches.
 */
import {
  followKeyedTopic,
  SuspicionReplica,
  SuspicionTable,
  type KeyedRecord,
  type StoredSuspicions,
} from '@briarpin/coordination';
import {
  validateSuspicionRecord,
  type CrashSuspicion,
  type SuspicionRecord,
} from '@briarpin/messages';
import {parseJson} from '@briarpin/platform';

import type {FollowStoreOptions} from './follow_store.js';

/** Topic in which each gateway stores suspicions under its name. */
export const SUSPICIONS_TOPIC = 'keyed.suspicions';

/** Average time from an observed crash to its storage. */
const STORE_INTERVAL_MILLISECONDS = 400;

/** Longest interval between two attempts while the store rejects them. */
const MAXIMUM_STORE_INTERVAL_MILLISECONDS = 2_000;

/** Suspects in a report, so that it fits into two Ethernet frames. */
const MAXIMUM_REPORTED_SUSPECTS = 96;

/** Time for which the same part of the recent crashes is reported. */
const REPORT_ROTATION_MILLISECONDS = 100;

/** What the exchange through the store needs of a gateway. */
export type ShareSuspicionsOptions = Pick<
  FollowStoreOptions,
  'store' | 'clock' | 'random' | 'logger' | 'signal'
> & {
  readonly table: SuspicionTable;
  /** Name of this gateway. */
  readonly gateway: string;
};

/** Callbacks that keep a replica equal to the topic. */
export type SuspicionTopicOptions = Pick<
  Parameters<typeof followKeyedTopic>[1],
  'onSnapshot' | 'onRecords'
>;

/** Creates the callbacks that apply the topic to a replica. */
export function applyTopicTo(
  replica: SuspicionReplica,
  logger: FollowStoreOptions['logger'],
): SuspicionTopicOptions {
  const decode = (records: readonly KeyedRecord[]) =>
    records.map(record => decodeSuspicions(record, logger));
  return {
    onSnapshot: records => replica.applySnapshot(decode(records)),
    onRecords: records =>
      decode(records).forEach(value => replica.applyValue(value)),
  };
}

/**
 * Stores what no gateway has stored yet, until the signal is aborted. The
 * intervals differ at random, so that one gateway stores for all.
 */
export async function keepSuspicionsStored(
  replica: SuspicionReplica,
  {store, clock, random, logger, signal, gateway}: ShareSuspicionsOptions,
): Promise<void> {
  let interval = STORE_INTERVAL_MILLISECONDS;
  while (!signal.aborted) {
    await clock.sleep(interval * (0.5 + random()), signal);
    const records = replica.createMissingValue();
    if (records === undefined || signal.aborted) {
      continue;
    }
    const value = Buffer.from(JSON.stringify(records));
    const result = await store.write(SUSPICIONS_TOPIC, gateway, value, signal);
    if (result.isErr) {
      logger.warn('suspicions_not_stored', {cause: result.error.message});
      interval = MAXIMUM_STORE_INTERVAL_MILLISECONDS;
      continue;
    }
    interval = STORE_INTERVAL_MILLISECONDS;
    replica.applyValue({key: gateway, records});
  }
}

/** Selects the suspicions of the next report; they take turns if many are new. */
export function selectReportedSuspicions(
  recent: readonly SuspicionRecord[],
  now: number,
): CrashSuspicion[] {
  const table = new SuspicionTable();
  recent.forEach(record => table.apply(record));
  const records = table.list();
  if (records.length === 0) {
    return [];
  }
  const parts = splitBySuspects(records);
  const part = Math.floor(now / REPORT_ROTATION_MILLISECONDS) % parts.length;
  return (parts[part] ?? []).map(({deathId, at, fingerprints, cleared}) => ({
    crash: deathId,
    at,
    fingerprints,
    cleared: cleared ?? [],
  }));
}

/** Splits records into lists that each fit into a report. */
function splitBySuspects(
  records: readonly SuspicionRecord[],
): SuspicionRecord[][] {
  const parts: SuspicionRecord[][] = [[]];
  let room = MAXIMUM_REPORTED_SUSPECTS;
  for (const record of records.flatMap(splitRecord)) {
    const size = countSuspects(record);
    if (size > room) {
      parts.push([]);
      room = MAXIMUM_REPORTED_SUSPECTS;
    }
    parts.at(-1)?.push(record);
    room -= size;
  }
  return parts;
}

/** Splits the record of a crash under which very many suspects ran. */
function splitRecord(record: SuspicionRecord): SuspicionRecord[] {
  if (countSuspects(record) <= MAXIMUM_REPORTED_SUSPECTS) {
    return [record];
  }
  const {fingerprints, cleared = []} = record;
  return [
    ...chunk(fingerprints).map(part => ({
      ...record,
      fingerprints: part,
      cleared: [],
    })),
    ...chunk(cleared).map(part => ({
      ...record,
      fingerprints: [],
      cleared: part,
    })),
  ];
}

function chunk(keys: readonly string[]): string[][] {
  const chunks: string[][] = [];
  for (let start = 0; start < keys.length; start += MAXIMUM_REPORTED_SUSPECTS) {
    chunks.push(keys.slice(start, start + MAXIMUM_REPORTED_SUSPECTS));
  }
  return chunks;
}

function countSuspects({fingerprints, cleared = []}: SuspicionRecord): number {
  return fingerprints.length + cleared.length;
}

/** Restores a suspicion from a report. */
export function fromReportedSuspicion({
  crash,
  at,
  fingerprints,
  cleared,
}: CrashSuspicion): SuspicionRecord {
  return {deathId: crash, at, fingerprints, cleared};
}

function decodeSuspicions(
  {key, value}: KeyedRecord,
  logger: FollowStoreOptions['logger'],
): StoredSuspicions {
  const content = value === undefined ? [] : parseJson(value);
  if (!Array.isArray(content)) {
    logger.warn('suspicions_broken', {key, bytes: value?.length ?? 0});
    return {key, records: []};
  }
  return {
    key,
    records: content.filter(record => validateSuspicionRecord(record)),
  };
}
