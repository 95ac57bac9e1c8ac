/**
 * Progress of the graceful shutdown of a gateway.
 */
import type {Clock} from '@briarpin/coordination';

/** Tells the parts of a gateway whether and since when it shuts down. */
export class Shutdown {
  private startedAt: number | undefined;

  /**
   * @param clock - Monotonic clock
   */
  constructor(private readonly clock: Pick<Clock, 'now'>) {}

  /** True once the gateway has been asked to stop. */
  get hasBegun(): boolean {
    return this.startedAt !== undefined;
  }

  /** Time since the gateway was asked to stop; absent while it was not. */
  get elapsedMilliseconds(): number | undefined {
    return this.startedAt === undefined
      ? undefined
      : this.clock.now() - this.startedAt;
  }

  /** Records that the gateway was asked to stop. */
  begin(): void {
    this.startedAt ??= this.clock.now();
  }
}
