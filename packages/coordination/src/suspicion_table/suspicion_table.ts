/**
 * Table of requests that are suspected of crashing endpoints.
 */
import type {SuspicionRecord} from '@briarpin/messages';

import {
  MAXIMUM_SUSPECTS,
  SUSPICION_LIFETIME_MILLISECONDS,
} from '../constants.js';

/** Crash of an endpoint while a request ran there. */
interface SuspectedCrash {
  at: number;
  /** True once the request has proved not to be the cause. */
  isCleared: boolean;
}

const NO_CRASHES: ReadonlyMap<string, number> = new Map();

interface Suspicion {
  readonly crashes: Map<string, SuspectedCrash>;
  /** Times of the crashes that the request is not cleared of. */
  readonly uncleared: Map<string, number>;
  lastCrashTime: number;
}

/**
 * Counts the endpoint crashes during requests, by request fingerprint.
 *
 * A crash counts once per request, however often its report is received. A
 * request clears its suspicions by running to its end. Crashes and clearances
 * are only ever added, so that tables which have received the same records in
 * any order are equal.
 */
export class SuspicionTable {
  /** Suspicions by fingerprint, the one that changed last at the end. */
  private readonly suspicions = new Map<string, Suspicion>();

  /** Fingerprints with more than one crash that they are not cleared of. */
  private readonly repeated = new Set<string>();

  /** Number of requests in the table. */
  get size(): number {
    return this.suspicions.size;
  }

  /**
   * Applies a record that this process created or received.
   *
   * @param record - Requests that ran during a crash, or that were cleared of it
   * @returns True when the record contained something new
   */
  apply(record: SuspicionRecord): boolean {
    let isNew = false;
    for (const fingerprint of record.fingerprints) {
      isNew = this.add(fingerprint, record, false) || isNew;
    }
    for (const fingerprint of record.cleared ?? []) {
      isNew = this.add(fingerprint, record, true) || isNew;
    }
    this.evictExcess();
    return isNew;
  }

  /**
   * Clears a request of all crashes that it is suspected of.
   *
   * @param fingerprint - Fingerprint of the request
   * @returns Records of what changed, for other processes
   */
  clear(fingerprint: string): SuspicionRecord[] {
    const records: SuspicionRecord[] = [];
    const suspicion = this.suspicions.get(fingerprint);
    for (const [deathId, crash] of suspicion?.crashes ?? []) {
      if (!crash.isCleared) {
        crash.isCleared = true;
        suspicion?.uncleared.delete(deathId);
        const cleared = [fingerprint];
        records.push({deathId, at: crash.at, fingerprints: [], cleared});
      }
    }
    this.repeated.delete(fingerprint);
    return records;
  }

  /**
   * Finds the crashes that a request is suspected of.
   *
   * @param fingerprint - Fingerprint of the request
   * @param now - Milliseconds since the epoch
   * @returns Times by crash, in milliseconds since the epoch; empty when the
   *     suspicion has expired
   */
  findCrashes(fingerprint: string, now: number): ReadonlyMap<string, number> {
    const suspicion = this.suspicions.get(fingerprint);
    if (suspicion === undefined) {
      return NO_CRASHES;
    }
    if (now - suspicion.lastCrashTime > SUSPICION_LIFETIME_MILLISECONDS) {
      this.delete(fingerprint);
      return NO_CRASHES;
    }
    return suspicion.uncleared;
  }

  /** Returns the fingerprints that are suspected of more than one crash. */
  listRepeated(): string[] {
    return [...this.repeated];
  }

  /**
   * Counts the crashes that a request is suspected of.
   *
   * @param fingerprint - Fingerprint of the request
   * @param now - Milliseconds since the epoch
   * @returns Number of crashes; 0 when the suspicion has expired
   */
  countCrashes(fingerprint: string, now: number): number {
    return this.findCrashes(fingerprint, now).size;
  }

  /** Returns the contents of the table, one record a crash. */
  list(): SuspicionRecord[] {
    return this.findMissing(new SuspicionTable());
  }

  /** Returns what another table lacks, one record a crash. */
  findMissing(other: SuspicionTable): SuspicionRecord[] {
    const records = new Map<string, SuspicionRecord & {cleared: string[]}>();
    for (const [fingerprint, {crashes}] of this.suspicions) {
      for (const [deathId, {at, isCleared}] of crashes) {
        if (other.includes(fingerprint, deathId, isCleared)) {
          continue;
        }
        const record = records.get(deathId) ?? {
          deathId,
          at,
          fingerprints: [],
          cleared: [],
        };
        record.at = Math.max(record.at, at);
        (isCleared ? record.cleared : record.fingerprints).push(fingerprint);
        records.set(deathId, record);
      }
    }
    return [...records.values()];
  }

  /**
   * Evicts expired suspicions.
   *
   * @param now - Milliseconds since the epoch
   */
  evictExpired(now: number): void {
    const oldest = now - SUSPICION_LIFETIME_MILLISECONDS;
    for (const [fingerprint, suspicion] of this.suspicions) {
      if (suspicion.lastCrashTime < oldest) {
        this.delete(fingerprint);
      }
    }
  }

  private includes(
    fingerprint: string,
    deathId: string,
    isCleared: boolean,
  ): boolean {
    const crash = this.suspicions.get(fingerprint)?.crashes.get(deathId);
    return crash !== undefined && (crash.isCleared || !isCleared);
  }

  private add(
    fingerprint: string,
    {deathId, at}: SuspicionRecord,
    isCleared: boolean,
  ): boolean {
    if (this.includes(fingerprint, deathId, isCleared)) {
      return false;
    }
    const suspicion = this.suspicions.get(fingerprint) ?? {
      crashes: new Map<string, SuspectedCrash>(),
      uncleared: new Map<string, number>(),
      lastCrashTime: at,
    };
    suspicion.crashes.set(deathId, {at, isCleared});
    if (isCleared) {
      suspicion.uncleared.delete(deathId);
    } else {
      suspicion.uncleared.set(deathId, at);
    }
    this.updateRepeated(fingerprint, suspicion);
    suspicion.lastCrashTime = Math.max(suspicion.lastCrashTime, at);
    this.suspicions.delete(fingerprint);
    this.suspicions.set(fingerprint, suspicion);
    return true;
  }

  private updateRepeated(fingerprint: string, {uncleared}: Suspicion): void {
    if (uncleared.size > 1) {
      this.repeated.add(fingerprint);
    } else {
      this.repeated.delete(fingerprint);
    }
  }

  private delete(fingerprint: string): void {
    this.suspicions.delete(fingerprint);
    this.repeated.delete(fingerprint);
  }

  private evictExcess(): void {
    for (const fingerprint of this.suspicions.keys()) {
      if (this.suspicions.size <= MAXIMUM_SUSPECTS) {
        return;
      }
      this.delete(fingerprint);
    }
  }
}
