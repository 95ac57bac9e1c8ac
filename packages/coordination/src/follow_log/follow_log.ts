/**
 * Follows a stream of the log.
 */
import type {LogPage} from '@briarpin/messages';

import {computeBackoff} from '../_lib/backoff.js';
import type {AppendOnlyLog} from '../append_only_log/append_only_log.js';
import type {Clock} from '../clock/clock.js';

/** Options of {@link followLog}. */
export interface FollowLogOptions {
  readonly log: AppendOnlyLog;
  readonly clock: Clock;
  /** Random number generator for backoff jitter, returns values in [0, 1). */
  readonly random: () => number;
  /** Maximum duration of one long poll, in milliseconds. */
  readonly longPollMilliseconds: number;
  readonly signal: AbortSignal;
  /** Returns the offset to read next. */
  readonly position: () => number;
  /**
   * Receives a page of records; must move the position.
   *
   * @param currentAt - Time at which no other record existed; undefined if more
   *   may exist, as after a page that holds records
   */
  readonly onPage: (page: LogPage, currentAt: number | undefined) => void;
  /** Called when records before `earliest` are gone; must move the position. */
  readonly onTrimmed: (earliest: number) => void;
  /** Resolves when the next read is needed; if absent, it starts at once. */
  readonly waitBeforeRead?: () => Promise<void>;
}

/**
 * Follows a stream until the signal is aborted.
 *
 * Failed reads are retried indefinitely with exponential backoff, so that an
 * outage of the log only delays progress.
 *
 * @param stream - Name of the stream
 * @param options - Log, clock and callbacks
 * @returns Resolves when the signal is aborted
 *
 * @example
 * await followLog('claims', {log, clock, onPage: page => apply(page), ...});
 */
export async function followLog(
  stream: string,
  options: FollowLogOptions,
): Promise<void> {
  const {log, clock, signal} = options;
  let failures = 0;
  let waitMilliseconds = options.longPollMilliseconds;
  while (!signal.aborted) {
    await options.waitBeforeRead?.();
    const sentAt = clock.now();
    const result = await log.read(stream, options.position(), {
      waitMilliseconds,
      signal,
    });
    if (signal.aborted) {
      return;
    }
    if (result.isOk) {
      failures = 0;
      const isEnd = result.value.records.length === 0;
      options.onPage(
        result.value,
        isEnd ? Math.min(clock.now(), sentAt + waitMilliseconds) : undefined,
      );
      // A page may end anywhere, so that the next read finds the end at once.
      waitMilliseconds = isEnd ? options.longPollMilliseconds : 0;
    } else if (result.error.kind === 'trimmed') {
      failures = 0;
      options.onTrimmed(result.error.earliest);
    } else {
      failures += 1;
      await clock.sleep(computeBackoff(failures, options.random), signal);
    }
  }
}
