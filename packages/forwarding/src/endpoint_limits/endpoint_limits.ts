/**
 * Limits that endpoints state in their responses: rate limits, kept by all
 * gateways together, and pauses of this gateway alone.
 */
import type {EndpointLimit} from '@briarpin/messages';
import {SharedRateLimit} from '@briarpin/scheduling';
import type {EventLogger} from '@briarpin/telemetry';

import {EndpointPauses} from '../endpoint_pauses/endpoint_pauses.js';

/**
 * Time for which reports include a limit after it was last confirmed, or after
 * its end.
 */
const REPORTED_AGE_MILLISECONDS = 10_000;

/**
 * Time after which a limit is forgotten that no response has confirmed, such as
 * that of an endpoint that has left.
 */
const LIFETIME_MILLISECONDS = 60_000;

/**
 * Limit up to which each request is reported at once; at higher ones the
 * periodic reports are frequent enough.
 */
const REPORTED_AT_ONCE_PER_SECOND = 100;

/** Limits in a report, so that it usually fits into one Ethernet frame. */
const MAXIMUM_REPORTED_LIMITS = 16;

/** Options of {@link EndpointLimits}. */
export interface EndpointLimitsOptions {
  /** Monotonic time, in milliseconds. */
  readonly now: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  readonly logger: EventLogger;
  /** Called when other gateways must count a request. */
  readonly onLimitedRequest: () => void;
}

/** What the gateways know of the limit of one endpoint. */
interface KnownLimit {
  /** Undefined once the endpoint states none any more. */
  requestsPerSecond: number | undefined;
  /** When a response stated it, here or at another gateway. */
  statedAt: number;
  /** Requests that this process has sent since it knows of the limit. */
  sentCount: number;
  readonly rate: SharedRateLimit;
  /** Requests that other gateways have sent, as of their last reports. */
  readonly sentByGateway: Map<string, number>;
}

/**
 * Keeps the rate limit that each endpoint stated last to any gateway, and counts
 * the requests of all gateways against it. A limit is in force until a response
 * of the endpoint states another one or none.
 */
export class EndpointLimits {
  private readonly limits = new Map<string, KnownLimit>();
  private readonly pauses: EndpointPauses;

  /**
   * @param options - Clock, random source, log and callback
   */
  constructor(private readonly options: EndpointLimitsOptions) {
    this.pauses = new EndpointPauses(options.now);
  }

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
    if (requestsPerSecond !== undefined || this.limits.has(endpointId)) {
      this.set(endpointId, requestsPerSecond, this.options.now());
    }
  }

  /** Records that an endpoint accepts no request of this gateway for a time. */
  recordPause(endpoint: string, milliseconds: number): void {
    this.pauses.record(endpoint, milliseconds);
    this.options.logger.info('endpoint_paused', {
      endpoint,
      milliseconds: Math.round(milliseconds),
    });
  }

  /** Computes the time for which an endpoint wants nothing at all. */
  computePauseMilliseconds(endpointId: string): number {
    return this.pauses.computeWaitMilliseconds(endpointId);
  }

  /** Counts a request that is sent to an endpoint. */
  recordRequest(endpointId: string): void {
    const limit = this.limits.get(endpointId);
    if (limit?.requestsPerSecond === undefined) {
      return;
    }
    limit.sentCount += 1;
    limit.rate.charge(1);
    if (limit.requestsPerSecond <= REPORTED_AT_ONCE_PER_SECOND) {
      this.options.onLimitedRequest();
    }
  }

  /** Returns whether an endpoint accepts another request now. */
  hasCapacity(endpointId: string): boolean {
    if (this.pauses.computeWaitMilliseconds(endpointId) > 0) {
      return false;
    }
    const limit = this.limits.get(endpointId);
    return limit?.requestsPerSecond === undefined || limit.rate.hasCapacity();
  }

  /** Returns whether a rate limit of an endpoint is in force. */
  isLimited(endpointId: string): boolean {
    return this.limits.get(endpointId)?.requestsPerSecond !== undefined;
  }

  /** Computes the milliseconds until an endpoint accepts another request. */
  computeWaitMilliseconds(endpointId: string): number {
    const limit = this.limits.get(endpointId);
    const rateWait =
      limit?.requestsPerSecond === undefined
        ? 0
        : limit.rate.computeWaitMilliseconds();
    return Math.max(rateWait, this.pauses.computeWaitMilliseconds(endpointId));
  }

  /** Returns the limits and this gateway's requests, for other gateways. */
  createReport(): EndpointLimit[] {
    const now = this.options.now();
    const reported: EndpointLimit[] = [];
    for (const [endpoint, limit] of this.limits) {
      const ageMilliseconds = Math.round(now - limit.statedAt);
      if (ageMilliseconds > LIFETIME_MILLISECONDS) {
        this.limits.delete(endpoint);
      }
      if (ageMilliseconds <= REPORTED_AGE_MILLISECONDS) {
        const {requestsPerSecond, sentCount} = limit;
        reported.push({
          endpoint,
          ageMilliseconds,
          requestsPerSecond,
          sentCount,
        });
      }
    }
    return reported.slice(0, MAXIMUM_REPORTED_LIMITS);
  }

  /**
   * Applies the limits that another gateway knows, and charges the requests that
   * it has sent since its last report.
   */
  applyReport(gateway: string, reported: readonly EndpointLimit[]): void {
    const now = this.options.now();
    for (const {
      endpoint,
      ageMilliseconds,
      requestsPerSecond,
      sentCount,
    } of reported) {
      const statedAt = now - ageMilliseconds;
      const known = this.limits.get(endpoint);
      if (known === undefined || statedAt > known.statedAt) {
        this.set(endpoint, requestsPerSecond, statedAt);
      }
      this.charge(gateway, endpoint, sentCount);
    }
  }

  /** Removes the rate limit of an endpoint that has left. */
  remove(endpointId: string): void {
    this.limits.delete(endpointId);
  }

  private set(
    endpoint: string,
    requestsPerSecond: number | undefined,
    statedAt: number,
  ): void {
    const {now, random, logger} = this.options;
    const known = this.limits.get(endpoint);
    const previous = known?.requestsPerSecond;
    if (known === undefined) {
      const rate = new SharedRateLimit({
        requestsPerSecond: requestsPerSecond ?? 0,
        now,
        random,
      });
      this.limits.set(endpoint, {
        requestsPerSecond,
        statedAt,
        sentCount: 0,
        rate,
        sentByGateway: new Map(),
      });
    } else {
      known.requestsPerSecond = requestsPerSecond;
      known.statedAt = statedAt;
    }
    if (previous === requestsPerSecond) {
      return;
    }
    known?.rate.setRate(requestsPerSecond ?? 0);
    logger.info('endpoint_limit', {
      endpoint,
      previous,
      requests_per_second: requestsPerSecond,
    });
  }

  /** Charges what another gateway has sent since its last report. */
  private charge(gateway: string, endpoint: string, sentCount: number): void {
    const limit = this.limits.get(endpoint);
    const before = limit?.sentByGateway.get(gateway);
    limit?.sentByGateway.set(gateway, sentCount);
    if (before === undefined) {
      return;
    }
    // A restarted process counts from 0.
    const sent = sentCount >= before ? sentCount - before : sentCount;
    if (sent > 0) {
      limit?.rate.charge(sent);
    }
  }
}
