/**
 * Availability zones whose endpoints receive no requests, as operators order it.
 */

/** Callbacks of {@link EvacuatedZones}. */
export interface EvacuatedZonesOptions {
  /** Called when a zone is evacuated. */
  readonly onEvacuated: (availabilityZone: string) => void;
  /** Called when the evacuation of a zone ends. */
  readonly onRestored: (availabilityZone: string) => void;
}

/** Evacuated zones as another process has read them. */
export interface ZoneReport {
  readonly availabilityZones: readonly string[];
  /** Time of the receipt, in milliseconds. */
  readonly receivedAt: number;
  /** Time at which the store had these zones, or earlier; on the same clock. */
  readonly stateAt: number;
}

/** The last report of a zone. */
interface ReportedZone {
  /** Number of own reads that had begun. */
  readonly reads: number;
  readonly reportedAt: number;
}

/**
 * Set of the evacuated zones: those read from the store, and those that another
 * process has read but this one has not. The latter hold until this process has
 * read the store itself, so that a process that cannot reach it also stops sending
 * to them. Reports do not restore a zone that this process has read itself.
 */
export class EvacuatedZones {
  private readonly stored = new Set<string>();
  private readonly reported = new Map<string, ReportedZone>();
  private readCount = 0;

  /**
   * @param options - Callbacks for changes
   */
  constructor(private readonly options: EvacuatedZonesOptions) {}

  /** Returns whether a zone is evacuated. */
  has(availabilityZone: string): boolean {
    return (
      this.stored.has(availabilityZone) || this.reported.has(availabilityZone)
    );
  }

  /** Returns the evacuated zones that were read from the store. */
  listStored(): readonly string[] {
    return [...this.stored];
  }

  /** Returns whether the store's zones as another process read them differ. */
  differsFrom(availabilityZones: readonly string[]): boolean {
    const others = new Set(availabilityZones);
    return (
      others.size !== this.stored.size ||
      availabilityZones.some(zone => !this.stored.has(zone))
    );
  }

  /** Replaces the zones by those of a snapshot of the store. */
  replaceAll(availabilityZones: readonly string[]): void {
    this.change(() => {
      this.stored.clear();
      availabilityZones.forEach(zone => this.stored.add(zone));
    });
  }

  /** Applies a record of the store: a zone was evacuated or restored. */
  put(availabilityZone: string, isEvacuated: boolean): void {
    this.change(() => {
      if (isEvacuated) {
        this.stored.add(availabilityZone);
      } else {
        this.stored.delete(availabilityZone);
      }
    });
  }

  /**
   * Returns whether exactly these zones are evacuated here, whoever has read them.
   */
  areInForce(availabilityZones: readonly string[]): boolean {
    const others = new Set(availabilityZones);
    return (
      availabilityZones.every(zone => this.has(zone)) &&
      this.listAll().every(zone => others.has(zone))
    );
  }

  /**
   * Applies the zones that another process has recently read from the store. A zone
   * that only reports have named is restored by a later state without it.
   */
  applyReport({availabilityZones, receivedAt, stateAt}: ZoneReport): void {
    this.change(() => {
      for (const [zone, {reportedAt}] of this.reported) {
        if (!availabilityZones.includes(zone) && reportedAt < stateAt) {
          this.reported.delete(zone);
        }
      }
      const reads = this.readCount;
      availabilityZones.forEach(zone =>
        this.reported.set(zone, {reads, reportedAt: receivedAt}),
      );
    });
  }

  /**
   * Records that a read of the store begins; must be called before it is sent.
   *
   * @returns Called when everything that was written before the read has been
   *   applied: zones that were reported before it began are restored unless the
   *   store has them
   */
  recordReadStart(): () => void {
    this.readCount += 1;
    const read = this.readCount;
    return () =>
      this.change(() => {
        for (const [zone, {reads}] of this.reported) {
          if (reads < read) {
            this.reported.delete(zone);
          }
        }
      });
  }

  private listAll(): readonly string[] {
    return [...this.stored, ...this.reported.keys()];
  }

  private change(apply: () => void): void {
    const before = new Set(this.listAll());
    apply();
    const after = new Set(this.listAll());
    for (const zone of after) {
      if (!before.has(zone)) {
        this.options.onEvacuated(zone);
      }
    }
    for (const zone of before) {
      if (!after.has(zone)) {
        this.options.onRestored(zone);
      }
    }
  }
}
