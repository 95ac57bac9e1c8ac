/**
 * History of the software versions that served each service.
 */
import {
  SOFTWARE_HISTORY_GAP_MILLISECONDS,
  SOFTWARE_HISTORY_MILLISECONDS,
} from '../constants.js';

/** Remembers until when each version of a service was seen. */
export class SoftwareVersionHistory {
  /** Times of the last sight, by service and version. */
  private readonly seenAt = new Map<string, Map<string, number>>();
  /** Start of the time in which no version was missed. */
  private startedAt: number | undefined;
  private lastReadAt = Number.NEGATIVE_INFINITY;

  /**
   * @param now - Returns the monotonic time, in milliseconds
   */
  constructor(private readonly now: () => number) {}

  /**
   * Records that all endpoints are known now. After a time without reads the
   * history starts anew, as versions may have come and gone meanwhile.
   */
  recordRead(): void {
    if (this.startedAt === undefined || this.hasGap()) {
      this.startedAt = this.now();
    }
    this.lastReadAt = this.now();
  }

  /**
   * Records that all endpoints are known now, and that records before may not
   * have been read: versions may have come and gone in them.
   */
  recordSnapshot(): void {
    this.startedAt = this.now();
    this.lastReadAt = this.now();
  }

  /** Records that an endpoint of a service has a version now. */
  record(service: string, softwareVersion: string): void {
    const versions = this.seenAt.get(service) ?? new Map<string, number>();
    versions.set(softwareVersion, this.now());
    this.seenAt.set(service, versions);
  }

  /**
   * Finds the only version that a service has had for some time.
   *
   * @param service - The service
   * @param milliseconds - How far back the answer must reach
   * @returns The version; undefined if there were several, if the history does
   *     not reach back so far, or if the endpoints have not been read lately
   */
  findOnly(service: string, milliseconds: number): string | undefined {
    const since = this.now() - milliseconds;
    const reachesBack =
      this.startedAt !== undefined &&
      !this.hasGap() &&
      this.startedAt <= since &&
      milliseconds <= SOFTWARE_HISTORY_MILLISECONDS;
    const versions = [...(this.seenAt.get(service) ?? [])]
      .filter(([, seenAt]) => seenAt >= since)
      .map(([version]) => version);
    return reachesBack && versions.length === 1 ? versions[0] : undefined;
  }

  /** Forgets versions that were last seen too long ago. */
  forgetOld(): void {
    const oldest = this.now() - SOFTWARE_HISTORY_MILLISECONDS;
    for (const versions of this.seenAt.values()) {
      for (const [version, seenAt] of versions) {
        if (seenAt < oldest) {
          versions.delete(version);
        }
      }
    }
  }

  private hasGap(): boolean {
    return this.now() - this.lastReadAt > SOFTWARE_HISTORY_GAP_MILLISECONDS;
  }
}
