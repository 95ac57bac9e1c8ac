/**
 * The part of one gateway in the second sends that all gateways may make.
 */
import {RetryBudget} from '@briarpin/scheduling';

/**
 * Part of what is allowed that is used: gateways see each other late, and the
 * requests for a service are spread unevenly over them.
 */
const USED_SHARE = 0.6;

/** Second sends that all gateways together may make to one service. */
export interface SharedRetryLimit {
  /** For each request. */
  readonly ratio: number;
  /** Beside the ratio, within the window in which they are counted. */
  readonly slack: number;
}

/** State of a budget, as it is logged. */
export interface RetryBudgetState {
  /** Retries that may be taken. */
  readonly left: string;
  /** Gateways by which the slack is divided. */
  readonly gateways: number | 'unknown';
}

/** Budgets by service. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();
  private burst: number;
  private gateways: number | undefined;

  /**
   * @param limit - What all gateways share
   */
  constructor(private readonly limit: SharedRetryLimit) {
    this.burst = this.shareOf(1);
  }

  /** Divides the slack by the gateways that are known. */
  setGateways(count: number): void {
    this.gateways = count;
    this.burst = this.shareOf(Math.max(1, count));
    this.budgets.forEach(budget => budget.setBurst(this.burst));
  }

  /** Finds the budget of a service. */
  find(service: string): RetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) {
      return known;
    }
    const ratio = this.limit.ratio * USED_SHARE;
    const budget = new RetryBudget(ratio, this.burst);
    this.budgets.set(service, budget);
    return budget;
  }

  /** What decides the next retry to a service, for the log. */
  describe(service: string): RetryBudgetState {
    const left = this.find(service).left.toFixed(2);
    return {left, gateways: this.gateways ?? 'unknown'};
  }

  private shareOf(gateways: number): number {
    return Math.max(1, (this.limit.slack * USED_SHARE) / gateways);
  }
}
