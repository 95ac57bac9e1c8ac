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

/**
 * Set of the evacuated zones: those read from the store, and those that another
 * process has read but this one has not. The latter hold until this process has
 * read the store itself, so that a process that cannot reach it also stops sending
 * to them. Only the store ends an evacuation.
 */
export class EvacuatedZones {
  private readonly stored = new Set<string>();
  /** Zones with the number of reads that had begun when they were reported. */
  private readonly reported = new Map<string, number>();
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

  /** Adds zones that another process has recently read from the store. */
  addReported(availabilityZones: readonly string[]): void {
    this.change(() =>
      availabilityZones.forEach(zone =>
        this.reported.set(zone, this.readCount),
      ),
    );
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
        for (const [zone, reads] of this.reported) {
          if (reads < read) {
            this.reported.delete(zone);
          }
        }
      });
  }

  private change(apply: () => void): void {
    const before = new Set([...this.stored, ...this.reported.keys()]);
    apply();
    const after = new Set([...this.stored, ...this.reported.keys()]);
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
