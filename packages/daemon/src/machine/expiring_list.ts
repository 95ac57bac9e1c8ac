/**
 * List of items that expire after a fixed time.
 */
import type {Clock} from '@briarpin/coordination';

/** Retains each item for a fixed time after it was added. */
export class ExpiringList<T> {
  private entries: Array<{readonly item: T; readonly addedAt: number}> = [];

  /**
   * @param clock - Clock of the retention time
   * @param retentionMilliseconds - Time after which an item expires
   */
  constructor(
    private readonly clock: Clock,
    private readonly retentionMilliseconds: number,
  ) {}

  /** Adds an item; its retention time starts now. */
  add(item: T): void {
    this.entries.push({item, addedAt: this.clock.now()});
  }

  /** Evicts the expired items and returns the remaining ones in order. */
  list(): T[] {
    const now = this.clock.now();
    this.entries = this.entries.filter(
      ({addedAt}) => now - addedAt < this.retentionMilliseconds,
    );
    return this.entries.map(({item}) => item);
  }
}
