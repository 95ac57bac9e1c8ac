/**
 * Process lifetimes of an engine, identified by the epoch that it reports.
 */
import {randomUUID} from 'node:crypto';

import type {EngineLoad} from '@briarpin/messages';

/**
 * Records which process lifetimes of an engine have ended.
 *
 * The end of a lifetime is recorded once, by whichever detects it first: a
 * broken stream or a load report with a different epoch.
 */
export class EngineLifetimes {
  private readonly bootId = randomUUID();
  /** Crash identifiers, by the epoch of the lifetime that ended. */
  private readonly deathIds = new Map<string, string>();
  private crashCount = 0;
  private lastCrashAt = Number.NEGATIVE_INFINITY;

  /**
   * @param instance - Name of the instance; prefix of each crash identifier
   */
  constructor(private readonly instance: string) {}

  /** Returns whether the lifetime has been recorded as ended. */
  hasEnded(epoch: string): boolean {
    return this.deathIds.has(epoch);
  }

  /** Returns the crash identifier of a lifetime; empty while it runs. */
  getDeathId(epoch: string): string {
    return this.deathIds.get(epoch) ?? '';
  }

  /**
   * Records the end of a lifetime.
   *
   * @param epoch - Epoch of the lifetime
   * @param now - Current time of the clock, in milliseconds
   * @returns Identifier of the crash; undefined when the end is already
   *     recorded
   */
  recordCrash(epoch: string, now: number): string | undefined {
    if (this.deathIds.has(epoch)) {
      return undefined;
    }
    this.crashCount += 1;
    this.lastCrashAt = now;
    const deathId = `${this.instance}/${this.bootId}/${this.crashCount}`;
    this.deathIds.set(epoch, deathId);
    return deathId;
  }

  /**
   * Removes the record of a crash, for an engine that was only unreachable and
   * still runs.
   */
  clearCrash(epoch: string): void {
    this.deathIds.delete(epoch);
  }

  /**
   * Returns whether a load report may be older than the last crash.
   *
   * @param requestedAt - Time of the request for the report, in milliseconds
   */
  mayPredateCrash(requestedAt: number): boolean {
    return requestedAt <= this.lastCrashAt;
  }
}

/**
 * Returns the epoch of an engine's process lifetime; the empty string when the
 * engine reports none, so that its lifetimes cannot be distinguished.
 */
export function getEpoch(load: EngineLoad | undefined): string {
  return load?.epoch ?? '';
}
