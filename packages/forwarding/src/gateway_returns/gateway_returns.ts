/**
 * Which of the other gateways stop, and when they are expected to return.
 */
import type {Clock} from '@briarpin/coordination';
import {computeReturnDelay} from '@briarpin/scheduling';

/**
 * Time after its expected return for which a gateway that has not reported
 * again still counts as about to return.
 */
const OVERDUE_MILLISECONDS = 2_000;

/** Options of {@link GatewayReturns}. */
export interface GatewayReturnsOptions {
  readonly clock: Pick<Clock, 'now'>;
  /** Names of the other gateways that reports have come from lately. */
  readonly reachableGateways: () => readonly string[];
}

/** Keeps what stopping gateways have said of their return. */
export class GatewayReturns {
  /** Expected times of return, in milliseconds of the clock. */
  private readonly returnsAt = new Map<string, number>();

  /**
   * @param options - Clock and the other gateways
   */
  constructor(private readonly options: GatewayReturnsOptions) {}

  /**
   * Records what a gateway has reported.
   *
   * @param gateway - Its name
   * @param returnMilliseconds - Time until it serves again; absent while it
   *   serves
   */
  record(gateway: string, returnMilliseconds: number | undefined): void {
    if (returnMilliseconds === undefined) {
      this.returnsAt.delete(gateway);
    } else {
      const now = this.options.clock.now();
      this.returnsAt.set(gateway, now + returnMilliseconds);
    }
  }

  /**
   * Computes when a caller that this gateway rejects may come back.
   *
   * @param ownMilliseconds - Time until this gateway serves again
   * @returns Milliseconds
   */
  computeDelay(ownMilliseconds: number): number {
    const now = this.options.clock.now();
    const otherMilliseconds: number[] = [];
    for (const [gateway, returnsAt] of this.returnsAt) {
      if (returnsAt + OVERDUE_MILLISECONDS < now) {
        this.returnsAt.delete(gateway);
      } else {
        otherMilliseconds.push(returnsAt - now);
      }
    }
    const isOtherServing = this.options
      .reachableGateways()
      .some(gateway => !this.returnsAt.has(gateway));
    return computeReturnDelay({
      isOtherServing,
      ownMilliseconds,
      otherMilliseconds,
    });
  }
}
