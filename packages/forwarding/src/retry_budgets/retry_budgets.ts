/**
 * The part of one gateway in the retries that all gateways may make.
 */
import {WindowedRetryBudget} from '@briarpin/scheduling';

/**
 * Retries beside the ratio that each gateway may make in a window, so that a
 * failure is made up for where requests are few.
 */
const RESERVED_RETRIES = 1;

/**
 * Part of the slack that all reserves together may take. The rest covers
 * gateways that are not known yet, and retries that arrive late.
 */
const RESERVED_SHARE = 0.5;

/** Retries that all gateways together may make to one service. */
export interface SharedRetryLimit {
  /** For each request. */
  readonly ratio: number;
  /** Beside the ratio. */
  readonly slack: number;
  /** Length of the window in which they are counted. */
  readonly windowMilliseconds: number;
  /** Milliseconds of a clock that never goes back. */
  readonly now: () => number;
}

/**
 * Budgets by service.
 *
 * Each gateway keeps to the ratio for the requests that it has read itself. A
 * process that has not lived through a window has no reserve: it does not know
 * what the one before it has spent.
 */
export class RetryBudgets {
  private readonly budgets = new Map<string, WindowedRetryBudget>();
  private readonly startedAt: number;
  private gateways = Number.POSITIVE_INFINITY;

  /**
   * @param limit - What all gateways share
   */
  constructor(private readonly limit: SharedRetryLimit) {
    this.startedAt = limit.now();
  }

  /** Sets how many gateways share the limit. */
  setGateways(count: number): void {
    this.gateways = count;
  }

  /** Finds the budget of a service. */
  find(service: string): WindowedRetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) {
      return known;
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

  /** Retries that a service may get in a window beside the ratio. */
  get reserve(): number {
    const {slack, windowMilliseconds, now} = this.limit;
    const isKnown = now() - this.startedAt >= windowMilliseconds;
    const needed = this.gateways * RESERVED_RETRIES;
    return isKnown && needed <= slack * RESERVED_SHARE ? RESERVED_RETRIES : 0;
  }
}
