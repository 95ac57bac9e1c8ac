/**
 * Whether a request is sent to another endpoint after a failed attempt.
 */
import {decideRetry} from '@briarpin/scheduling';

import {
  findUntried,
  remainingMilliseconds,
  type Exchange,
  type ForwardingParts,
} from '../exchange/exchange.js';

/** A request after an attempt that failed. */
export interface FailedSend {
  /** True when the endpoint certainly did not run it. */
  readonly notRun: boolean;
  /** True when running it twice does no harm. */
  readonly idempotent: boolean;
  /** Endpoints that the request has reached. */
  readonly sends: number;
  /** False when nothing of the failed attempt has left this process. */
  readonly wasSent: boolean;
}

/**
 * Decides whether a request may be sent to another endpoint, and takes the
 * retry out of the budget of its service.
 *
 * An attempt of which nothing was sent is followed by another at no charge.
 *
 * @param exchange - The request
 * @param parts - Parts of the gateway
 * @param failed - The attempt that failed
 * @returns True when it may be sent now
 */
export function permitRetry(
  exchange: Exchange,
  parts: ForwardingParts,
  {notRun, idempotent, sends, wasSent}: FailedSend,
): boolean {
  const isAllowed =
    sends < exchange.route.maximumAttempts &&
    decideRetry({
      notRun,
      idempotent,
      delivered: false,
      remainingMilliseconds: remainingMilliseconds(exchange, parts.clock),
      untriedEndpoints: findUntried(exchange, parts).length,
    });
  if (!isAllowed || !wasSent) {
    return isAllowed;
  }
  const service = exchange.service.name;
  const budget = parts.retryBudgets.find(service);
  const isTaken = budget.tryAcquire();
  parts.logger.info(isTaken ? 'retry_allowed' : 'retry_denied', {
    request: exchange.facts.requestId,
    service,
    sends,
    left: budget.remaining.toFixed(1),
  });
  return isTaken;
}
