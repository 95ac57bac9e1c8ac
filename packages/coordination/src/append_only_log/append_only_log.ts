/**
 * Interface of the append-only log that this package is built on.
 */
import type {LogPage} from '@briarpin/messages';
import type {Result} from 'true-myth';

/** Error of a log operation. */
export type LogError =
  /** No response, or an error; an append may still have taken effect. */
  | {readonly kind: 'unavailable'; readonly message: string}
  /** The requested records have been deleted by retention. */
  | {
      readonly kind: 'trimmed';
      readonly earliest: number;
      readonly message: string;
    };

/** Options of a read. */
export interface LogReadOptions {
  /** Maximum time to wait for a new record, in milliseconds. */
  readonly waitMilliseconds: number;
  readonly signal?: AbortSignal;
}

/** Append-only log of named streams; offsets start at 1. */
export interface AppendOnlyLog {
  /**
   * Appends one record.
   *
   * @returns Offset of the record; on `unavailable` the record may have been
   *     appended nevertheless
   */
  append(
    stream: string,
    value: unknown,
    signal?: AbortSignal,
  ): Promise<Result<number, LogError>>;

  /** Reads records starting at an offset. */
  read(
    stream: string,
    from: number,
    options: LogReadOptions,
  ): Promise<Result<LogPage, LogError>>;
}
