/**
 * Rate limits that endpoints state in their responses.
 */
import type {EventLogger} from '@briarpin/telemetry';

/** Options of {@link EndpointLimits}. */
export interface EndpointLimitsOptions {
  readonly logger: EventLogger;
}

/**
 * Keeps the rate limit that each endpoint stated last. A limit is in force until
 * a response of the endpoint states another one or none.
 */
export class EndpointLimits {
  private readonly limits = new Map<string, number>();

  /**
   * @param options - Log of the changes
   */
  constructor(private readonly options: EndpointLimitsOptions) {}

  /**
   * Records what a response states about the limit of its endpoint.
   *
   * @param endpointId - Endpoint that responded
   * @param requestsPerSecond - Stated limit; undefined if it states none
   */
  recordResponse(
    endpointId: string,
    requestsPerSecond: number | undefined,
  ): void {
    const previous = this.limits.get(endpointId);
    if (previous === requestsPerSecond) {
      return;
    }
    if (requestsPerSecond === undefined) {
      this.limits.delete(endpointId);
    } else {
      this.limits.set(endpointId, requestsPerSecond);
    }
    this.options.logger.info('endpoint_limit', {
      endpoint: endpointId,
      previous,
      requests_per_second: requestsPerSecond,
    });
  }

  /** Removes the limit of an endpoint that has left. */
  remove(endpointId: string): void {
    this.limits.delete(endpointId);
  }
}
