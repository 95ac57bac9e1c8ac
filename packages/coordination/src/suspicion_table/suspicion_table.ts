/**
 * Table of requests that are suspected of crashing endpoints.
 */
import type {SuspicionRecord} from '@briarpin/messages';

import {SUSPICION_LIFETIME_MILLISECONDS} from '../constants.js';

interface Suspicion {
  crashes: number;
  lastCrashTime: number;
}

/**
 * Counts the endpoint crashes during requests, by request fingerprint.
 *
 * A crash counts once per request, however often its report is received. A
 * record that lists a fingerprint as cleared removes its suspicion: a request
 * clears a suspicion of one crash when it runs past the point of the crash.
 */
export class SuspicionTable {
  private readonly suspicions = new Map<string, Suspicion>();
  private readonly receivedReports = new Map<string, number>();

  /**
   * Applies a record that this process created or received.
   *
   * @param record - Requests that ran during a crash, or that were cleared
   */
  apply(record: SuspicionRecord): void {
    for (const fingerprint of record.fingerprints) {
      const reportKey = `${record.deathId}\n${fingerprint}`;
      if (this.receivedReports.has(reportKey)) {
        continue;
      }
      this.receivedReports.set(reportKey, record.at);
      const existing = this.suspicions.get(fingerprint);
      this.suspicions.set(fingerprint, {
        crashes: (existing?.crashes ?? 0) + 1,
        lastCrashTime: Math.max(existing?.lastCrashTime ?? 0, record.at),
      });
    }
    for (const fingerprint of record.cleared ?? []) {
      this.suspicions.delete(fingerprint);
    }
  }

  /**
   * Counts the crashes that a request is suspected of.
   *
   * @param fingerprint - Fingerprint of the request
   * @param now - Milliseconds since the epoch
   * @returns Number of crashes; 0 when the suspicion has expired
   */
  countCrashes(fingerprint: string, now: number): number {
    const suspicion = this.suspicions.get(fingerprint);
    if (suspicion === undefined) {
      return 0;
    }
    const age = now - suspicion.lastCrashTime;
    if (age > SUSPICION_LIFETIME_MILLISECONDS) {
      this.suspicions.delete(fingerprint);
      return 0;
    }
    return suspicion.crashes;
  }

  /**
   * Evicts expired suspicions and reports.
   *
   * @param now - Milliseconds since the epoch
   */
  evictExpired(now: number): void {
    const oldest = now - SUSPICION_LIFETIME_MILLISECONDS;
    for (const [fingerprint, suspicion] of this.suspicions) {
      if (suspicion.lastCrashTime < oldest) {
        this.suspicions.delete(fingerprint);
      }
    }
    for (const [reportKey, at] of this.receivedReports) {
      if (at < oldest) {
        this.receivedReports.delete(reportKey);
      }
    }
  }
}
