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
  private readonly reported = new Set<string>();

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
      availabilityZones.forEach(zone => this.reported.add(zone)),
    );
  }

  /**
   * Records that everything in the store has been read; zones that only another
   * process has reported are restored.
   */
  recordRead(): void {
    this.change(() => this.reported.clear());
  }

  private change(apply: () => void): void {
    const before = new Set([...this.stored, ...this.reported]);
    apply();
    const after = new Set([...this.stored, ...this.reported]);
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
