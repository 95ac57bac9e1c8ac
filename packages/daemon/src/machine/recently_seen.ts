/**
 * What a gateway has lately seen, to be told to the other gateways.
 */
import type {Clock} from '@briarpin/coordination';

/** Remembers things for a short time. */
export class RecentlySeen<T> {
  private seen: Array<{readonly thing: T; readonly seenAt: number}> = [];

  /**
   * @param clock - Time
   * @param keptMilliseconds - How long each is told
   */
  constructor(
    private readonly clock: Clock,
    private readonly keptMilliseconds: number,
  ) {}

  /** Adds one. */
  add(thing: T): void {
    this.seen.push({thing, seenAt: this.clock.now()});
  }

  /** Those that are still told. */
  list(): T[] {
    const now = this.clock.now();
    this.seen = this.seen.filter(
      ({seenAt}) => now - seenAt < this.keptMilliseconds,
    );
    return this.seen.map(({thing}) => thing);
  }
}
