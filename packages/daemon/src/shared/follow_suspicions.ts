/**
 * Replication of suspicions against crashing requests through the log.
 */
import {
  followLog,
  SUSPICIONS_STREAM,
  type AppendOnlyLog,
  type Clock,
  type SuspicionTable,
} from '@briarpin/coordination';
import {validateSuspicionRecord} from '@briarpin/messages';

/** Options of {@link followSuspicions}. */
export interface FollowSuspicionsOptions {
  readonly log: AppendOnlyLog;
  readonly clock: Clock;
  readonly random: () => number;
  readonly longPollMilliseconds: number;
  readonly table: SuspicionTable;
  readonly signal: AbortSignal;
}

/**
 * Applies the suspicions in the log to a table until the signal is aborted.
 *
 * @param options - The log, the table and the poll timing
 */
export async function followSuspicions(
  options: FollowSuspicionsOptions,
): Promise<void> {
  const {log, clock, random, longPollMilliseconds, table, signal} = options;
  let position = 1;
  await followLog(SUSPICIONS_STREAM, {
    log,
    clock,
    random,
    longPollMilliseconds,
    signal,
    position: () => position,
    onPage: page => {
      for (const record of page.records) {
        if (validateSuspicionRecord(record.value)) {
          table.apply(record.value);
        }
      }
      position = page.next;
      table.evictExpired(clock.now());
    },
    onTrimmed: earliest => {
      position = earliest;
    },
  });
}
