/**
 * Endpoints that tolerate few requests for some time after their start.
 */
import {
  isOfSameIncarnation,
  rankByRendezvous,
  REMOVED_ENTRY_RETENTION_MILLISECONDS,
  type EndpointEntry,
  type RoutedService,
} from '@briarpin/coordination';
import {computeColdShare, type ColdShare} from '@briarpin/scheduling';
import type {EventLogger, GatewayMetrics} from '@briarpin/telemetry';

/** Share of a gateway that does not know how many there are. */
const NO_SHARE: ColdShare = {requests: 0, windowMilliseconds: 1};

/** Options of {@link ColdEndpoints}. */
export interface ColdEndpointsOptions {
  /** Name of this gateway. */
  readonly gateway: string;
  /** Returns the other gateways that have sent a report to this one. */
  readonly findReportingGateways: () => readonly string[];
  /** Monotonic time, in milliseconds. */
  readonly now: () => number;
  /** Wall clock for log lines, in milliseconds since the epoch. */
  readonly wallClockMilliseconds: () => number;
  /** Returns a service of the configuration in force. */
  readonly findService: (name: string) => RoutedService | undefined;
  readonly logger: EventLogger;
  readonly metrics: Pick<GatewayMetrics, 'countColdRequest'>;
}

/** What this gateway knows of one incarnation of an endpoint. */
interface KnownEndpoint {
  entry: EndpointEntry;
  recordedAt: number;
  /** Start of the cold period of a new incarnation; -Infinity if it is not new. */
  readonly firstSeenAt: number;
  /** End of the cold period that the entries state. */
  statedUntil: number;
  /** Times of the requests sent while it was cold, in the current window. */
  sentAt: number[];
  share?: {
    readonly gateways: readonly string[];
    readonly requestsPerSecond: number;
    readonly value: ColdShare;
  };
}

/**
 * Limits the requests that this gateway sends to cold endpoints to its share of
 * the rate that they tolerate. Each gateway computes its share from the gateways
 * that are registered in the store, so that gateways that do not reach each other
 * keep to the limit too.
 */
export class ColdEndpoints {
  private readonly known = new Map<string, KnownEndpoint>();
  /** Times at which the evacuation of zones ended. */
  private readonly restoredAt = new Map<string, number>();
  /** Gateways of the store; undefined before they have been read. */
  private registered: readonly string[] | undefined;
  /** Gateways among which a rate is divided; the same array until they change. */
  private gateways: readonly string[] = [];

  /**
   * @param options - Clock, configuration, log and metrics
   */
  constructor(private readonly options: ColdEndpointsOptions) {}

  /**
   * Sets the gateways that are registered in the store; this one counts also if it
   * is missing. Before the first call, cold endpoints receive nothing, as the
   * number of gateways is not known.
   */
  setGateways(gateways: readonly string[]): void {
    this.registered = gateways;
  }

  /**
   * Records an entry of an endpoint. An incarnation that was not known before is
   * new, also in the first snapshot: a gateway that has just started cannot know
   * of an evacuation that ended shortly before, which leaves endpoints cold.
   *
   * @param entry - The entry, as received now
   */
  recordEntry(entry: EndpointEntry): void {
    const now = this.options.now();
    const before = this.known.get(entry.id);
    const wasCold = before !== undefined && this.computeEnd(before) > now;
    const statedUntil = now + entry.coldMilliseconds;
    if (before === undefined || !isOfSameIncarnation(entry, before.entry)) {
      this.known.set(entry.id, {
        entry,
        recordedAt: now,
        firstSeenAt: now,
        statedUntil,
        sentAt: [],
      });
    } else {
      // An endpoint that repeats its first entry does not become cold again.
      if (entry.coldMilliseconds !== before.entry.coldMilliseconds) {
        before.statedUntil = Math.max(before.statedUntil, statedUntil);
      }
      before.entry = entry;
      before.recordedAt = now;
    }
    if (!wasCold) {
      this.logIfCold(entry.id);
    }
  }

  /**
   * Removes the endpoints that left long ago.
   *
   * @param isTracked - Returns whether an endpoint has an entry now
   */
  evictExpired(isTracked: (id: string) => boolean): void {
    const oldest = this.options.now() - REMOVED_ENTRY_RETENTION_MILLISECONDS;
    for (const [id, {recordedAt}] of this.known) {
      if (recordedAt < oldest && !isTracked(id)) {
        this.known.delete(id);
      }
    }
  }

  /** Records that the evacuation of a zone ended: its endpoints are cold. */
  recordRestored(availabilityZone: string): void {
    this.restoredAt.set(availabilityZone, this.options.now());
    for (const [id, {entry}] of this.known) {
      if (entry.availabilityZone === availabilityZone) {
        this.logIfCold(id);
      }
    }
  }

  /** Returns whether an endpoint is cold and its service has a limit for that. */
  isCold(entry: EndpointEntry): boolean {
    return this.findLimited(entry) !== undefined;
  }

  /** Returns whether this gateway may send a request to an endpoint now. */
  hasCapacity(entry: EndpointEntry): boolean {
    return this.computeWaitMilliseconds(entry) === 0;
  }

  /** Computes the milliseconds until this gateway may send a request. */
  computeWaitMilliseconds(entry: EndpointEntry): number {
    const limited = this.findLimited(entry);
    if (limited === undefined) {
      return 0;
    }
    const {endpoint, share, end} = limited;
    const now = this.options.now();
    const {requests, windowMilliseconds} = share;
    const sent = this.countSent(endpoint, windowMilliseconds);
    if (sent < requests) {
      return 0;
    }
    const freeing = endpoint.sentAt[sent - requests];
    const freeAt =
      freeing === undefined
        ? Number.POSITIVE_INFINITY
        : freeing + windowMilliseconds;
    return Math.min(end, freeAt) - now;
  }

  /** Counts a request, or a copy of a run's memory, sent to an endpoint. */
  recordSend(entry: EndpointEntry): void {
    const limited = this.findLimited(entry);
    if (limited !== undefined) {
      const {endpoint, share} = limited;
      this.countSent(endpoint, share.windowMilliseconds);
      endpoint.sentAt.push(this.options.now());
      this.options.metrics.countColdRequest();
    }
  }

  /** Finds the share at an endpoint; undefined if it is not limited now. */
  private findLimited(
    entry: EndpointEntry,
  ): {endpoint: KnownEndpoint; share: ColdShare; end: number} | undefined {
    const endpoint = this.known.get(entry.id);
    const rate = this.options.findService(entry.service)?.coldRequestsPerSecond;
    if (endpoint === undefined || rate === undefined) {
      return undefined;
    }
    const end = this.computeEnd(endpoint);
    return end > this.options.now()
      ? {endpoint, share: this.getShare(endpoint, rate), end}
      : undefined;
  }

  private computeEnd({entry, firstSeenAt, statedUntil}: KnownEndpoint): number {
    const {service, availabilityZone} = entry;
    const coldStartMilliseconds =
      this.options.findService(service)?.coldStartMilliseconds ?? 0;
    const restoredAt =
      this.restoredAt.get(availabilityZone) ?? Number.NEGATIVE_INFINITY;
    return Math.max(
      statedUntil,
      Math.max(firstSeenAt, restoredAt) + coldStartMilliseconds,
    );
  }

  private getShare(
    endpoint: KnownEndpoint,
    requestsPerSecond: number,
  ): ColdShare {
    if (this.registered === undefined) {
      return NO_SHARE;
    }
    const gateways = this.listGateways(this.registered);
    const cached = endpoint.share;
    if (
      cached?.gateways === gateways &&
      cached.requestsPerSecond === requestsPerSecond
    ) {
      return cached.value;
    }
    const order = rankByRendezvous(gateways, endpoint.entry.id);
    const value = computeColdShare({
      requestsPerSecond,
      gatewayCount: gateways.length,
      rank: order.indexOf(this.options.gateway),
    });
    endpoint.share = {gateways, requestsPerSecond, value};
    return value;
  }

  /**
   * Lists the gateways that are registered or report. Those that have just started
   * report before their registration has been read everywhere.
   */
  private listGateways(registered: readonly string[]): readonly string[] {
    const {gateway, findReportingGateways} = this.options;
    const names = new Set([...registered, ...findReportingGateways(), gateway]);
    const isSame =
      names.size === this.gateways.length &&
      this.gateways.every(name => names.has(name));
    if (!isSame) {
      this.gateways = [...names];
    }
    return this.gateways;
  }

  /** Counts the requests in the window that ends now, and forgets older ones. */
  private countSent(endpoint: KnownEndpoint, windowMilliseconds: number) {
    const oldest = this.options.now() - windowMilliseconds;
    endpoint.sentAt = endpoint.sentAt.filter(at => at > oldest);
    return endpoint.sentAt.length;
  }

  private logIfCold(id: string): void {
    const endpoint = this.known.get(id);
    const limited = endpoint && this.findLimited(endpoint.entry);
    if (endpoint === undefined || limited === undefined) {
      return;
    }
    const milliseconds = Math.round(limited.end - this.options.now());
    this.options.logger.info('endpoint_cold', {
      endpoint: id,
      availability_zone: endpoint.entry.availabilityZone,
      share: limited.share.requests,
      milliseconds,
      until: Math.round(this.options.wallClockMilliseconds() + milliseconds),
    });
  }
}
