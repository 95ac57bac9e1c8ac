/**
 * What a gateway that shuts down does with the requests that still come.
 */
import type {Route} from '@briarpin/coordination';
import {decideLastRequest} from '@briarpin/scheduling';

import type {RequestMetadata} from '../dialect/dialect.js';
import type {ErrorResponse} from '../error_response/error_response.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/**
 * Time before the deregistration from which on streams are late: callers may have
 * counted it from a moment at which this process did not yet know of its end.
 */
const LATE_MILLISECONDS = 250;

/** Time from the end of a process until its successor serves. */
const RESTART_MILLISECONDS = 1_500;

/** Options of {@link LastRequests}. */
export interface LastRequestsOptions {
  /** Returns whether streams are open, which last to the end of the process. */
  readonly hasStreams: () => boolean;
}

/** Decides on requests at a gateway that shuts down, and rejects them. */
export class LastRequests {
  /**
   * @param context - Progress of the shutdown, durations, other gateways
   * @param options - What the end of the process depends on
   */
  constructor(
    private readonly context: Pick<
      ForwardingContext,
      'shutdown' | 'durations' | 'gatewayReturns'
    >,
    private readonly options: LastRequestsOptions,
  ) {}

  /** Returns whether a request is expected to end before the gateway does. */
  endsInTime(route: Route, metadata: RequestMetadata): boolean {
    const {durations, shutdown} = this.context;
    return (
      !shutdown.hasBegun ||
      decideLastRequest({
        expectedMilliseconds: durations.estimate({route, metadata}),
        limitMilliseconds: Math.min(
          route.timeoutMilliseconds,
          metadata.deadlineMilliseconds ?? Number.POSITIVE_INFINITY,
        ),
        remainingMilliseconds: shutdown.remainingAnswerMilliseconds,
        isLateStream:
          route.isStream &&
          shutdown.remainingDeregistrationMilliseconds <= LATE_MILLISECONDS,
      })
    );
  }

  /** Creates the response to a request that would not end in time. */
  createResponse(): ErrorResponse & {kind: 'not_run'} {
    const ownMilliseconds = this.computeReturnMilliseconds() ?? 0;
    return {
      kind: 'not_run',
      reason: 'the gateway stops before the request would end',
      retryAfterMilliseconds:
        this.context.gatewayReturns.computeDelay(ownMilliseconds),
    };
  }

  /**
   * Computes when this gateway serves again. With streams its process lasts to
   * the end of the grace period.
   *
   * @returns Milliseconds; undefined while it does not shut down
   */
  computeReturnMilliseconds(): number | undefined {
    const {shutdown} = this.context;
    if (!shutdown.hasBegun) {
      return undefined;
    }
    const endMilliseconds = this.options.hasStreams()
      ? shutdown.remainingProcessMilliseconds
      : shutdown.remainingDeregistrationMilliseconds;
    return Math.max(0, endMilliseconds) + RESTART_MILLISECONDS;
  }
}
