/**
 * One gateway's share of the retries that all gateways together may make.
 */
import {WindowedRetryBudget} from '@briarpin/scheduling';

/**
 * Retries in a window that each gateway may make in addition to the ratio, so
 * that a failed request can be retried where there are few requests.
 */
const RESERVED_RETRIES = 1;

/**
 * Share of the slack that the reserves of all gateways together may use. The
 * rest covers gateways that this one has not discovered yet, and retries that
 * arrive late.
 */
const RESERVED_SHARE = 0.5;

/** Retries that all gateways together may make to one service. */
export interface SharedRetryLimit {
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries in a window in addition to the ratio. */
  readonly slack: number;
  /** Length of the window in which retries are counted. */
  readonly windowMilliseconds: number;
  /** Returns the milliseconds of a monotonic clock. */
  readonly now: () => number;
}

/**
 * Retry budgets by service.
 *
 * Each gateway applies the ratio to the requests that it has read itself. A
 * process gets a reserve only after it has run for a whole window, because its
 * predecessor may have spent retries that it cannot count.
 */
export class RetryBudgets {
  private readonly budgets = new Map<string, WindowedRetryBudget>();
  private readonly startedAt: number;
  private gatewayCount = Number.POSITIVE_INFINITY;

  /**
   * @param limit - Limit that all gateways share
   */
  constructor(private readonly limit: SharedRetryLimit) {
    this.startedAt = limit.now();
  }

  /** Sets the number of gateways that share the limit. */
  setGatewayCount(count: number): void {
    this.gatewayCount = count;
  }

  /** Returns the budget of a service, and creates it on first use. */
  find(service: string): WindowedRetryBudget {
    const existing = this.budgets.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const {ratio, windowMilliseconds, now} = this.limit;
    const budget = new WindowedRetryBudget({
      ratio,
      windowMilliseconds,
      reserve: () => this.reserve,
      now,
    });
    this.budgets.set(service, budget);
    return budget;
  }

  /** Retries for a service in a window in addition to the ratio. */
  get reserve(): number {
    const {slack, windowMilliseconds, now} = this.limit;
    const isKnown = now() - this.startedAt >= windowMilliseconds;
    const needed = this.gatewayCount * RESERVED_RETRIES;
    return isKnown && needed <= slack * RESERVED_SHARE ? RESERVED_RETRIES : 0;
  }
}
