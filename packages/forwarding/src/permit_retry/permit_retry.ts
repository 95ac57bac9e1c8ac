/**
 * Decision on a retry at another endpoint after a failed attempt.
 */
import {decideRetry} from '@briarpin/scheduling';

import {findUntriedEndpoints} from '../find_untried_endpoints/find_untried_endpoints.js';
import {computeRemainingMilliseconds} from '../compute_remaining_milliseconds/compute_remaining_milliseconds.js';
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/** A request whose latest attempt failed. */
export interface RetryCandidate {
  /** True when the endpoint certainly did not run the request. */
  readonly isNotRun: boolean;
  /** True when running the request twice has the same effect as once. */
  readonly isIdempotent: boolean;
  /** Number of attempts of which at least one byte was sent. */
  readonly sendCount: number;
  /** False when no byte of the failed attempt left this process. */
  readonly wasSent: boolean;
}

/**
 * Decides whether a request may be retried at another endpoint, and charges the
 * retry to the budget of its service.
 *
 * A retry after an attempt of which nothing was sent is not charged.
 *
 * @param exchange - The request
 * @param context - Services shared by the request handlers
 * @param candidate - Attempts so far and the latest failure
 * @returns True when the request may be retried now
 */
export function permitRetry(
  exchange: Exchange,
  context: ForwardingContext,
  {isNotRun, isIdempotent, sendCount, wasSent}: RetryCandidate,
): boolean {
  const isAllowed =
    sendCount < exchange.route.maximumAttempts &&
    context.quarantine.computeRefusalMilliseconds(exchange) === 0 &&
    decideRetry({
      notRun: isNotRun,
      idempotent: isIdempotent,
      delivered: false,
      remainingMilliseconds: computeRemainingMilliseconds(exchange, context),
      untriedEndpoints: findUntriedEndpoints(exchange, context).length,
    });
  if (!isAllowed || !wasSent) {
    return isAllowed;
  }
  const service = exchange.service.name;
  const budget = context.retryBudgets.find(service);
  const isGranted = budget.tryAcquire();
  context.logger.info(isGranted ? 'retry_allowed' : 'retry_denied', {
    request: exchange.metadata.requestId,
    service,
    sends: sendCount,
    left: budget.remaining.toFixed(1),
  });
  return isGranted;
}
