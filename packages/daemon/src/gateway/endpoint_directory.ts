/**
 * Connections of a gateway to endpoints, with their latest load reports.
 */
import {selectEndpointSubset} from '@briarpin/coordination';
import {
  SidecarClient,
  type ExchangeReply,
  type ExchangeRequest,
  type LoadReport,
  type Member,
} from '@briarpin/messages';
import type {EndpointCandidate, RequestClassName} from '@briarpin/scheduling';
import type {ClientDuplexStream} from '@grpc/grpc-js';

import {
  applyConfigurationReport,
  toReportedAge,
} from '../shared/configuration_report.js';
import type {ProcessContext} from '../shared/process_context.js';
import {CHANNEL_OPTIONS} from '../shared/transport_credentials.js';

const RECONNECT_DELAY_MILLISECONDS = 200;
const STALL_RETENTION_MILLISECONDS = 5_000;
const ROUND_TRIP_WITHIN_ZONE_MILLISECONDS = 1;
const ROUND_TRIP_WITHIN_REGION_MILLISECONDS = 2;
const ROUND_TRIP_BETWEEN_REGIONS_MILLISECONDS = 60;
const GATEWAY_SERVICE = 'gateway';

type Exchange = ClientDuplexStream<ExchangeRequest, ExchangeReply>;

/** State of an endpoint that is reached through its sidecar. */
export interface Endpoint {
  readonly member: Member;
  readonly client: SidecarClient;
  /**
   * Latest load report; undefined before the first one and after the exchange
   * has closed.
   */
  report: LoadReport | undefined;
  /** Time of the last report, in milliseconds since the epoch; initially 0. */
  reportedAt: number;
  /** Requests that this gateway has sent to it since that report. */
  sentSinceReport: number;
  /** Open requests of this gateway at the endpoint. */
  openRequests: number;
  /** Time until which it counts as stalled, in milliseconds since the epoch. */
  stalledUntil: number;
}

interface Connection {
  readonly endpoint: Endpoint;
  exchange: Exchange | undefined;
  /** Configuration version last reported by or sent to the sidecar. */
  sidecarConfigurationVersion: number;
  isClosed: boolean;
}

/** Requirements that an endpoint must meet to be a candidate. */
export interface EndpointQuery {
  readonly service: string;
  readonly requestClass: RequestClassName;
  /** Model that it must serve; absent for a plain service. */
  readonly model?: string;
  /** Instances that are excluded because they have been tried. */
  readonly triedInstances: ReadonlySet<string>;
  /** Instance that has probably cached the prompt's prefix. */
  readonly prefixInstance?: string;
  /** Length of that prefix, in tokens. */
  readonly prefixTokens?: number;
}

/**
 * Maintains connections to a bounded subset of the endpoints of each service.
 */
export class EndpointDirectory {
  private readonly connections = new Map<string, Connection>();

  /**
   * @param context - Shared objects of the process
   * @param endpointsPerService - Maximum size of the subset of a service
   */
  constructor(
    private readonly context: ProcessContext,
    private readonly endpointsPerService: number,
  ) {}

  /** Number of endpoints that have a connection. */
  get size(): number {
    return this.connections.size;
  }

  /**
   * Selects the subsets again after the membership list has changed.
   *
   * Closes connections to endpoints that are in no subset, except those with
   * open requests, which a later refresh closes.
   */
  refresh(): void {
    const {membership, instance, availabilityZone, region} = this.context;
    const services = new Set(membership.all.map(member => member.service));
    services.delete(GATEWAY_SERVICE);
    const selected = new Map<string, Member>();
    for (const service of services) {
      const subset = selectEndpointSubset(membership.listLive(service), {
        instance,
        availabilityZone,
        region,
        size: this.endpointsPerService,
      });
      for (const member of subset) {
        selected.set(member.instance, member);
      }
    }
    this.connectSelected(selected);
    this.closeUnselected(selected);
  }

  /**
   * Lists the connected endpoints that may receive a request.
   *
   * @param query - Requirements of the request
   * @returns Candidates for `chooseEndpoint`
   */
  listCandidates(query: EndpointQuery): readonly EndpointCandidate[] {
    const candidates: EndpointCandidate[] = [];
    for (const {endpoint} of this.connections.values()) {
      if (this.isUsable(endpoint, query)) {
        candidates.push(this.toCandidate(endpoint, query));
      }
    }
    return candidates;
  }

  /**
   * Finds an endpoint by its instance and connects to it if needed.
   *
   * @param instance - Name of the instance
   * @returns The endpoint; undefined when the instance is not a member
   */
  find(instance: string): Endpoint | undefined {
    const existing = this.connections.get(instance);
    if (existing !== undefined) {
      return existing.endpoint;
    }
    const member = this.context.membership.find(instance);
    return member === undefined ? undefined : this.connect(member).endpoint;
  }

  /** Marks an endpoint whose streams make no progress as stalled. */
  markStalled(endpoint: Endpoint): void {
    const now = this.context.clock.now();
    endpoint.stalledUntil = now + STALL_RETENTION_MILLISECONDS;
  }

  /** Sends the state of the configuration to every sidecar. */
  broadcastConfiguration(): void {
    for (const connection of this.connections.values()) {
      this.sendConfigurationState(connection);
    }
  }

  /**
   * Sends the state of the configuration to every sidecar periodically until
   * the process ends.
   *
   * A sidecar receives it from several gateways, so each gateway can use a long
   * interval; a sidecar without a gateway reads the log itself.
   *
   * @param intervalMilliseconds - Mean interval; each one is jittered by 50 %
   */
  async run(intervalMilliseconds: number): Promise<void> {
    const {clock, signal, random} = this.context;
    while (!signal.aborted) {
      const jitter = 0.5 + random();
      await clock.sleep(intervalMilliseconds * jitter, signal);
      this.broadcastConfiguration();
    }
  }

  /** Closes every connection. */
  close(): void {
    for (const connection of this.connections.values()) {
      closeConnection(connection);
    }
    this.connections.clear();
  }

  private connectSelected(selected: ReadonlyMap<string, Member>): void {
    for (const [instance, member] of selected) {
      const existing = this.connections.get(instance);
      if (
        existing !== undefined &&
        isSameEndpoint(existing.endpoint.member, member)
      ) {
        continue;
      }
      if (existing !== undefined) {
        this.connections.delete(instance);
        closeConnection(existing);
      }
      this.connect(member);
    }
  }

  private closeUnselected(selected: ReadonlyMap<string, Member>): void {
    for (const [instance, connection] of this.connections) {
      if (!selected.has(instance) && connection.endpoint.openRequests === 0) {
        this.connections.delete(instance);
        closeConnection(connection);
      }
    }
  }

  private connect(member: Member): Connection {
    const client = new SidecarClient(
      member.address,
      this.context.channelCredentials,
      CHANNEL_OPTIONS,
    );
    const endpoint: Endpoint = {
      member,
      client,
      report: undefined,
      reportedAt: 0,
      sentSinceReport: 0,
      openRequests: 0,
      stalledUntil: 0,
    };
    const connection: Connection = {
      endpoint,
      exchange: undefined,
      sidecarConfigurationVersion: 0,
      isClosed: false,
    };
    this.connections.set(member.instance, connection);
    this.openExchange(connection);
    return connection;
  }

  private openExchange(connection: Connection): void {
    const {endpoint} = connection;
    const exchange = endpoint.client.exchange();
    connection.exchange = exchange;
    exchange.on('data', (reply: ExchangeReply) => {
      connection.sidecarConfigurationVersion = reply.configurationVersion;
      this.handleReply(connection, reply);
    });
    exchange.on('error', () => undefined);
    exchange.on('close', () => {
      connection.exchange = undefined;
      endpoint.report = undefined;
      if (!connection.isClosed) {
        void this.reopenExchange(connection);
      }
    });
    this.sendConfigurationState(connection);
  }

  private async reopenExchange(connection: Connection): Promise<void> {
    const {clock, random, signal} = this.context;
    await clock.sleep(RECONNECT_DELAY_MILLISECONDS * (1 + random()), signal);
    if (!connection.isClosed && !signal.aborted) {
      this.openExchange(connection);
    }
  }

  private handleReply(connection: Connection, reply: ExchangeReply): void {
    const {replica, membership, clock} = this.context;
    applyConfigurationReport(replica, reply);
    if (reply.load !== undefined) {
      const {endpoint} = connection;
      if (endpoint.report === undefined) {
        this.context.logger.info('endpoint_connected', {
          endpoint: endpoint.member.instance,
        });
      }
      endpoint.report = reply.load;
      endpoint.reportedAt = clock.now();
      endpoint.sentSinceReport = 0;
      membership.recordLeaving(endpoint.member, reply.load.leaving);
    }
    if (reply.configurationVersion !== replica.table.version) {
      this.sendConfigurationState(connection);
    }
  }

  private sendConfigurationState(connection: Connection): void {
    const {replica} = this.context;
    const update = replica.findUpdateSince(
      connection.sidecarConfigurationVersion,
    );
    if (update !== undefined) {
      connection.sidecarConfigurationVersion = update.version;
    }
    connection.exchange?.write({
      configurationVersion: replica.table.version,
      newsAgeMilliseconds: toReportedAge(replica),
      update,
    });
  }

  private isUsable(endpoint: Endpoint, query: EndpointQuery): boolean {
    const {member, report} = endpoint;
    const isLive = this.context.membership.isLive(member.instance);
    if (member.service !== query.service) {
      return false;
    }
    if (
      !isLive ||
      report === undefined ||
      query.triedInstances.has(member.instance)
    ) {
      return false;
    }
    const holdsModel =
      query.model === undefined ||
      report.models.length === 0 ||
      report.models.includes(query.model);
    return report.endpointAlive && holdsModel;
  }

  private toCandidate(
    endpoint: Endpoint,
    query: EndpointQuery,
  ): EndpointCandidate {
    const {member, report} = endpoint;
    const now = this.context.clock.now();
    const isPrefixHolder = member.instance === query.prefixInstance;
    return {
      instance: member.instance,
      reportedWaitMilliseconds: getReportedWait(report, query.requestClass),
      reportAgeMilliseconds: now - endpoint.reportedAt,
      sentSinceReport: endpoint.sentSinceReport,
      openRequests: endpoint.openRequests,
      waitPerRequestMilliseconds: report?.waitPerRequestMilliseconds ?? 0,
      roundTripMilliseconds: this.estimateRoundTripMilliseconds(member),
      isOtherRegion: member.region !== this.context.region,
      cachedPromptTokens: isPrefixHolder ? (query.prefixTokens ?? 0) : 0,
      isStalled: endpoint.stalledUntil > now,
    };
  }

  private estimateRoundTripMilliseconds(member: Member): number {
    if (member.region !== this.context.region) {
      return ROUND_TRIP_BETWEEN_REGIONS_MILLISECONDS;
    }
    return member.availabilityZone === this.context.availabilityZone
      ? ROUND_TRIP_WITHIN_ZONE_MILLISECONDS
      : ROUND_TRIP_WITHIN_REGION_MILLISECONDS;
  }
}

function getReportedWait(
  report: LoadReport | undefined,
  requestClass: RequestClassName,
): number {
  switch (requestClass) {
    case 'urgent':
      return report?.urgentWaitMilliseconds ?? 0;
    case 'standard':
      return report?.standardWaitMilliseconds ?? 0;
    case 'deferrable':
      return report?.deferrableWaitMilliseconds ?? 0;
  }
}

function isSameEndpoint(left: Member, right: Member): boolean {
  return left.address === right.address && left.service === right.service;
}

function closeConnection(connection: Connection): void {
  connection.isClosed = true;
  connection.exchange?.cancel();
  connection.endpoint.client.close();
}
