/**
 * The endpoints that a gateway knows, and what they last said.
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

import {takeNews, toNewsAge} from '../shared/configuration_news.js';
import type {ProcessContext} from '../shared/process_context.js';
import {CHANNEL_OPTIONS} from '../shared/transport_credentials.js';

const RECONNECT_DELAY_MILLISECONDS = 200;
const STALL_RETENTION_MILLISECONDS = 5_000;
const HOP_WITHIN_ZONE_MILLISECONDS = 1;
const HOP_WITHIN_REGION_MILLISECONDS = 2;
const HOP_BETWEEN_REGIONS_MILLISECONDS = 60;
const GATEWAY_SERVICE = 'gateway';

type Exchange = ClientDuplexStream<ExchangeRequest, ExchangeReply>;

/** One endpoint, reached through its sidecar. */
export interface Endpoint {
  readonly member: Member;
  readonly client: SidecarClient;
  report: LoadReport | undefined;
  /** Milliseconds since the epoch; 0 for none. */
  reportedAt: number;
  sentSinceReport: number;
  openRequests: number;
  /** Milliseconds since the epoch until which it counts as stalled. */
  stalledUntil: number;
}

interface Connection {
  readonly endpoint: Endpoint;
  exchange: Exchange | undefined;
  /** Version that the sidecar said last. */
  sidecarConfigurationVersion: number;
  isClosed: boolean;
}

/** What an endpoint is wanted for. */
export interface EndpointQuery {
  readonly service: string;
  readonly requestClass: RequestClassName;
  /** Model that it must hold; absent for a plain service. */
  readonly model?: string;
  /** Instances that have been tried. */
  readonly triedInstances: ReadonlySet<string>;
  /** Instance that is likely to hold the prompt's prefix. */
  readonly prefixInstance?: string;
  /** Length of that prefix, in tokens. */
  readonly prefixTokens?: number;
}

/**
 * Keeps in touch with a bounded subset of the endpoints of each service.
 */
export class EndpointDirectory {
  private readonly connections = new Map<string, Connection>();

  constructor(
    private readonly context: ProcessContext,
    private readonly endpointsPerService: number,
  ) {}

  /** Endpoints that are connected. */
  get size(): number {
    return this.connections.size;
  }

  /** Chooses the subsets again after the membership list has changed. */
  refresh(): void {
    const {membership, instance, availabilityZone, region} = this.context;
    const services = new Set(membership.all.map(member => member.service));
    services.delete(GATEWAY_SERVICE);
    const wanted = new Map<string, Member>();
    for (const service of services) {
      const subset = selectEndpointSubset(membership.listLive(service), {
        instance,
        availabilityZone,
        region,
        size: this.endpointsPerService,
      });
      for (const member of subset) {
        wanted.set(member.instance, member);
      }
    }
    this.connectSelected(wanted);
    this.closeUnselected(wanted);
  }

  /**
   * Lists the endpoints that may be used.
   *
   * @param query - What they are wanted for
   * @returns Candidates for the choice, with the endpoint of each
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

  /** Finds an endpoint by the name of its instance, connecting if needed. */
  find(instance: string): Endpoint | undefined {
    const known = this.connections.get(instance);
    if (known !== undefined) {
      return known.endpoint;
    }
    const member = this.context.membership.find(instance);
    return member === undefined ? undefined : this.connect(member).endpoint;
  }

  /** Notes that streams at an endpoint make no progress. */
  markStalled(endpoint: Endpoint): void {
    const now = this.context.clock.now();
    endpoint.stalledUntil = now + STALL_RETENTION_MILLISECONDS;
  }

  /** Tells every sidecar of a change of the configuration. */
  broadcastConfiguration(): void {
    for (const connection of this.connections.values()) {
      this.sendConfigurationState(connection);
    }
  }

  /**
   * Sends news to every sidecar at an interval until the process ends.
   *
   * A sidecar hears from several gateways, so each may speak seldom; one that
   * hears from none reads the log itself.
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

  private connectSelected(wanted: ReadonlyMap<string, Member>): void {
    for (const [instance, member] of wanted) {
      const known = this.connections.get(instance);
      if (known !== undefined && isSameEndpoint(known.endpoint.member, member)) {
        continue;
      }
      if (known !== undefined) {
        this.connections.delete(instance);
        closeConnection(known);
      }
      this.connect(member);
    }
  }

  private closeUnselected(wanted: ReadonlyMap<string, Member>): void {
    for (const [instance, connection] of this.connections) {
      if (!wanted.has(instance) && connection.endpoint.openRequests === 0) {
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
    takeNews(replica, reply);
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
      membership.noteLeaving(endpoint.member, reply.load.leaving);
    }
    if (reply.configurationVersion !== replica.table.version) {
      this.sendConfigurationState(connection);
    }
  }

  private sendConfigurationState(connection: Connection): void {
    const {replica} = this.context;
    const update = replica.updateFor(connection.sidecarConfigurationVersion);
    if (update !== undefined) {
      connection.sidecarConfigurationVersion = update.version;
    }
    connection.exchange?.write({
      configurationVersion: replica.table.version,
      newsAgeMilliseconds: toNewsAge(replica),
      update,
    });
  }

  private isUsable(endpoint: Endpoint, query: EndpointQuery): boolean {
    const {member, report} = endpoint;
    const isLive = this.context.membership.isLive(member.instance);
    if (member.service !== query.service) {
      return false;
    }
    if (!isLive || report === undefined || query.triedInstances.has(member.instance)) {
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
      hopMilliseconds: this.estimateHopMilliseconds(member),
      isOtherRegion: member.region !== this.context.region,
      cachedPromptTokens: isPrefixHolder ? (query.prefixTokens ?? 0) : 0,
      isStalled: endpoint.stalledUntil > now,
    };
  }

  private estimateHopMilliseconds(member: Member): number {
    if (member.region !== this.context.region) {
      return HOP_BETWEEN_REGIONS_MILLISECONDS;
    }
    return member.availabilityZone === this.context.availabilityZone
      ? HOP_WITHIN_ZONE_MILLISECONDS
      : HOP_WITHIN_REGION_MILLISECONDS;
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
