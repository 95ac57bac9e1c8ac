/**
 * In-memory append-only log with fault injection.
 */
import type {LogPage} from '@briarpin/messages';
import {Result} from 'true-myth';

import type {
  AppendOnlyLog,
  LogError,
  LogReadOptions,
} from '../append_only_log/append_only_log.js';
import type {Clock} from '../clock/clock.js';

const POLL_MILLISECONDS = 10;

/**
 * Append-only log for tests.
 *
 * @example
 * const log = new InMemoryLog(clock);
 * log.outage = true;
 * await log.append('claims', {}); //=> Err({kind: 'unavailable', ...})
 */
export class InMemoryLog implements AppendOnlyLog {
  private readonly streams = new Map<string, LogPage['records']>();
  private readonly earliest = new Map<string, number>();
  /** Largest number of records that a read returns. */
  maximumPageRecords = Number.POSITIVE_INFINITY;
  /** While true, every operation fails with `unavailable`. */
  outage = false;
  /**
   * Number of next appends that take effect but fail with `unavailable`, as if
   * the response were lost.
   */
  appendResponsesToDrop = 0;

  /**
   * @param clock - Clock for reads that wait
   */
  constructor(private readonly clock: Clock) {}

  append(stream: string, value: unknown): Promise<Result<number, LogError>> {
    if (this.outage) {
      return Promise.resolve(unavailable());
    }
    const records = this.recordsOf(stream);
    const last = records.at(-1)?.offset ?? this.earliestOf(stream) - 1;
    records.push({offset: last + 1, value: structuredClone(value)});
    if (this.appendResponsesToDrop > 0) {
      this.appendResponsesToDrop -= 1;
      return Promise.resolve(unavailable());
    }
    return Promise.resolve(Result.ok(last + 1));
  }

  async read(
    stream: string,
    from: number,
    options: LogReadOptions,
  ): Promise<Result<LogPage, LogError>> {
    const end = this.clock.now() + options.waitMilliseconds;
    for (;;) {
      if (this.outage) {
        return unavailable();
      }
      const earliest = this.earliestOf(stream);
      if (from < earliest) {
        const message = `records before offset ${earliest} have been trimmed`;
        return Result.err({kind: 'trimmed', earliest, message});
      }
      const records = this.recordsOf(stream)
        .filter(record => record.offset >= from)
        .slice(0, this.maximumPageRecords);
      const isWaitOver = this.clock.now() >= end || options.signal?.aborted;
      if (records.length > 0 || isWaitOver) {
        const next = (records.at(-1)?.offset ?? from - 1) + 1;
        return Result.ok({records, next});
      }
      await this.clock.sleep(POLL_MILLISECONDS, options.signal);
    }
  }

  /** Deletes the records before an offset. */
  trim(stream: string, before: number): void {
    const kept = this.recordsOf(stream).filter(
      record => record.offset >= before,
    );
    this.streams.set(stream, kept);
    this.earliest.set(stream, before);
  }

  /** Returns the records of a stream that have not been trimmed. */
  recordsOf(stream: string): LogPage['records'] {
    const existing = this.streams.get(stream);
    if (existing !== undefined) {
      return existing;
    }
    const created: LogPage['records'] = [];
    this.streams.set(stream, created);
    return created;
  }

  private earliestOf(stream: string): number {
    return this.earliest.get(stream) ?? 1;
  }
}

function unavailable<T>(): Result<T, LogError> {
  return Result.err({kind: 'unavailable', message: 'the log is unavailable'});
}
