/**
 * Exchanges status reports among gateways by UDP datagrams.
 */
import dgram from 'node:dgram';

import type {Clock} from '@briarpin/coordination';
import {
  GatewayNews,
  type ArrivedEndpoint,
  type CrashSuspicion,
  type DoubtfulEndpoint,
  type EndpointLimit,
  type EndpointWork,
  type LeavingEndpoint,
  type OrganisationWork,
} from '@briarpin/messages';
import type {EvacuationPeer} from '@briarpin/scheduling';
import type {EventLogger} from '@briarpin/telemetry';

/** Address at which another gateway receives reports. */
export interface GatewayPeer {
  readonly gateway: string;
  readonly host: string;
  readonly port: number;
}

/** Latest report of another gateway. */
export interface ReceivedReport {
  readonly gateway: string;
  /** Unfinished work of that gateway by endpoint ID. */
  readonly work: ReadonlyMap<string, EndpointWork>;
  /** Endpoints that it recently observed shutting down. */
  readonly leaving: readonly LeavingEndpoint[];
  /** Endpoints that it recently read from the store for the first time. */
  readonly arrived: readonly ArrivedEndpoint[];
  /** Endpoints that it recently found to be in doubt. */
  readonly doubtful: readonly DoubtfulEndpoint[];
  /** Crashes that it recently observed, and requests cleared of them. */
  readonly suspicions: readonly CrashSuspicion[];
  /** Limits that endpoints stated to it, and its requests under them. */
  readonly limits: readonly EndpointLimit[];
  /** True for the first report of a process, and after a silence. */
  readonly isFirst: boolean;
  /** Time between its last read of the endpoints and this report. */
  readonly endpointsAgeMilliseconds: number;
  /** Time for which it had not reached the store, at this report. */
  readonly storeAgeMilliseconds: number;
  /** Work that organisations have received through that gateway. */
  readonly organisationWork: readonly OrganisationWork[];
  /** Time until that gateway serves again; absent while it serves. */
  readonly returnMilliseconds?: number;
  /** Version of its configuration; absent before the first one. */
  readonly configurationVersion?: number;
  /** Receive time, in milliseconds of the local clock. */
  readonly receivedAt: number;
}

/** Contents of this gateway's own report. */
export interface LocalReport {
  readonly work: EndpointWork[];
  readonly leaving: LeavingEndpoint[];
  readonly arrived: ArrivedEndpoint[];
  readonly doubtful: DoubtfulEndpoint[];
  readonly suspicions: CrashSuspicion[];
  readonly limits: EndpointLimit[];
  readonly organisationWork: OrganisationWork[];
  readonly endpointsAgeMilliseconds: number;
  readonly storeAgeMilliseconds: number;
  /** Time until this gateway serves again; absent while it serves. */
  readonly returnMilliseconds?: number;
  /** Version of the configuration; absent before the first one. */
  readonly configurationVersion?: number;
}

/** What a message between two gateways is about. */
export type MessageKind = keyof typeof MESSAGE_MARKS;

/**
 * Handles a message that another gateway has sent to this one alone.
 *
 * @param message - The message
 * @param reply - Sends a message of the same kind back
 */
export type MessageHandler = (
  message: Buffer,
  reply: (message: Uint8Array) => void,
) => void;

/** Options of {@link GatewayMesh}. */
export interface GatewayMeshOptions {
  readonly gateway: string;
  readonly host: string;
  /** UDP port; 0 selects any free port. */
  readonly port: number;
  readonly clock: Clock;
  readonly logger: EventLogger;
  /** Start of the process, in milliseconds since the epoch. */
  readonly startedAt: number;
  /** Returns the contents of the next report. */
  readonly createReport: () => LocalReport;
  /** Called for each report; it replaces the sender's earlier one. */
  readonly onReport: (report: ReceivedReport) => void;
  /** Handlers of the messages that are expected, by kind. */
  readonly messageHandlers?: Partial<Record<MessageKind, MessageHandler>>;
}

/**
 * First bytes of datagrams with a message instead of a report. No report begins
 * with them, and gateways that do not know one discard such a datagram.
 */
const MESSAGE_MARKS = {streamOrigins: 0x07, freshness: 0x0f} as const;

/** Minimum interval between periodic reports. */
const MINIMUM_INTERVAL_MILLISECONDS = 150;

/**
 * Interval between periodic reports per peer, so that the send rate stays
 * bounded as peers are added. Newly started work is reported immediately.
 */
const INTERVAL_PER_PEER_MILLISECONDS = 15;

/**
 * Maximum number of work entries in a report, which usually fit into one
 * Ethernet frame.
 */
const MAXIMUM_WORK_ENTRIES = 48;

/**
 * Broadcasts this gateway's unfinished work to all other gateways and receives
 * their reports.
 *
 * Delivery is best effort: each report replaces the sender's previous one, so a
 * lost datagram is superseded by the next report. Reports are hints and provide
 * no consensus.
 */
export class GatewayMesh {
  private readonly socket = dgram.createSocket('udp4');
  private readonly latestReports = new Map<
    string,
    ReceivedReport & ReportVersion
  >();
  private peers: readonly GatewayPeer[] = [];
  /**
   * Senders of received reports that are not among the configured peers yet.
   */
  private readonly discoveredPeers = new Map<string, GatewayPeer>();
  private sequence = 0;

  /**
   * @param options - Identity and address of this gateway, and its callbacks
   */
  constructor(private readonly options: GatewayMeshOptions) {
    this.socket.on('message', (datagram, sender) => {
      const kind = readMessageKind(datagram);
      if (kind === undefined) {
        this.receive(datagram, sender);
        return;
      }
      const {address: host, port} = sender;
      options.messageHandlers?.[kind]?.(datagram.subarray(1), message =>
        this.sendMessageTo({host, port}, kind, message),
      );
    });
    this.socket.on('error', error =>
      options.logger.warn('gateway_mesh_failed', {message: error.message}),
    );
  }

  /**
   * Binds the UDP socket.
   *
   * @returns The bound port; rejects when the address cannot be bound
   */
  listen(): Promise<number> {
    const {host, port} = this.options;
    return new Promise((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(port, host, () => {
        this.socket.removeListener('error', reject);
        resolve(this.socket.address().port);
      });
    });
  }

  /** Replaces the gateways to which reports are sent. */
  setPeers(peers: readonly GatewayPeer[]): void {
    const {gateway} = this.options;
    this.peers = peers.filter(peer => peer.gateway !== gateway);
    this.peers.forEach(peer => this.discoveredPeers.delete(peer.gateway));
  }

  /** Name of this gateway. */
  get gateway(): string {
    return this.options.gateway;
  }

  /**
   * Finds the other gateways that have reported to reach the store, or to have
   * reached it recently.
   *
   * @param maximumAgeMilliseconds - Exclusive limit of the time since then
   */
  findGatewaysReachingStore(maximumAgeMilliseconds: number): string[] {
    const now = this.options.clock.now();
    return [...this.latestReports.values()]
      .filter(
        ({storeAgeMilliseconds, receivedAt}) =>
          storeAgeMilliseconds + now - receivedAt < maximumAgeMilliseconds,
      )
      .map(({gateway}) => gateway);
  }

  /**
   * Computes the age of the most recent endpoint list among the other gateways,
   * in milliseconds; infinite without a report.
   */
  computeReceivedEndpointsAgeMilliseconds(): number {
    const now = this.options.clock.now();
    const ages = [...this.latestReports.values()].map(
      ({endpointsAgeMilliseconds, receivedAt}) =>
        endpointsAgeMilliseconds + now - receivedAt,
    );
    return Math.min(Number.POSITIVE_INFINITY, ...ages);
  }

  /** Finds the other gateways with runs to move from an endpoint. */
  findPeersWithRuns(endpointId: string): EvacuationPeer[] {
    const now = this.options.clock.now();
    const peers: EvacuationPeer[] = [];
    for (const {gateway, work, receivedAt} of this.latestReports.values()) {
      const movableRuns = work.get(endpointId)?.movableRuns ?? 0;
      if (movableRuns > 0) {
        peers.push({gateway, movableRuns, ageMilliseconds: now - receivedAt});
      }
    }
    return peers;
  }

  /**
   * Evicts gateways whose last report is too old.
   *
   * @param silenceMilliseconds - Maximum age of the last report
   * @returns Names of the evicted gateways
   */
  evictSilentGateways(silenceMilliseconds: number): readonly string[] {
    const now = this.options.clock.now();
    const silent = [...this.latestReports.values()]
      .filter(report => now - report.receivedAt > silenceMilliseconds)
      .map(report => report.gateway);
    silent.forEach(gateway => {
      this.latestReports.delete(gateway);
      this.discoveredPeers.delete(gateway);
    });
    return silent;
  }

  /** Names of the gateways that reports have come from lately. */
  get reachableGateways(): string[] {
    return [...this.latestReports.keys()];
  }

  /** Names of all other gateways, reachable or not. */
  get knownGateways(): string[] {
    return this.findPeers().map(({gateway}) => gateway);
  }

  /** Sends a message to some of the gateways; it may be lost. */
  sendMessage(
    kind: MessageKind,
    gateways: readonly string[],
    message: Uint8Array,
  ): void {
    this.findPeers()
      .filter(({gateway}) => gateways.includes(gateway))
      .forEach(peer => this.sendMessageTo(peer, kind, message));
  }

  /**
   * Sends a report to all peers immediately. One that cannot be encoded is
   * logged and left out; the next one may be encoded again.
   */
  broadcast(): void {
    let message: Uint8Array;
    try {
      message = this.encodeReport();
    } catch (error) {
      const text = error instanceof Error ? error.message : String(error);
      this.options.logger.error('gateway_news_not_sent', {message: text});
      return;
    }
    for (const {host, port} of this.findPeers()) {
      this.socket.send(message, port, host);
    }
  }

  private encodeReport(): Uint8Array {
    this.sequence += 1;
    const report = this.options.createReport();
    return GatewayNews.encode({
      ...report,
      gateway: this.options.gateway,
      startedAt: this.options.startedAt,
      sequence: this.sequence,
      work: report.work.slice(0, MAXIMUM_WORK_ENTRIES),
    }).finish();
  }

  private findPeers(): GatewayPeer[] {
    return [...this.peers, ...this.discoveredPeers.values()];
  }

  private sendMessageTo(
    {host, port}: Pick<GatewayPeer, 'host' | 'port'>,
    kind: MessageKind,
    message: Uint8Array,
  ): void {
    const mark = Buffer.from([MESSAGE_MARKS[kind]]);
    this.socket.send([mark, message], port, host);
  }

  /**
   * Sends periodic reports until the signal is aborted, then closes the socket.
   *
   * @param signal - Stops the reports
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.broadcast();
      const interval = Math.max(
        MINIMUM_INTERVAL_MILLISECONDS,
        this.peers.length * INTERVAL_PER_PEER_MILLISECONDS,
      );
      await this.options.clock.sleep(interval, signal);
    }
    this.socket.close();
  }

  /** Stores a report unless it is malformed or out of date. */
  private receive(message: Buffer, sender: dgram.RemoteInfo): void {
    let report: GatewayNews;
    try {
      report = GatewayNews.decode(message);
    } catch (error) {
      const text = error instanceof Error ? error.message : String(error);
      this.options.logger.warn('gateway_news_broken', {message: text});
      return;
    }
    const {gateway} = report;
    const previous = this.latestReports.get(gateway);
    if (previous !== undefined && !isNewer(report, previous)) {
      return;
    }
    if (!this.peers.some(peer => peer.gateway === gateway)) {
      const {address: host, port} = sender;
      this.discoveredPeers.set(gateway, {gateway, host, port});
    }
    const received = {
      ...report,
      work: new Map(report.work.map(entry => [entry.endpoint, entry])),
      isFirst: previous?.startedAt !== report.startedAt,
      receivedAt: this.options.clock.now(),
    };
    this.latestReports.set(gateway, received);
    this.options.onReport(received);
  }
}

/** Returns the kind of message in a datagram; undefined for a report. */
function readMessageKind(datagram: Buffer): MessageKind | undefined {
  switch (datagram[0]) {
    case MESSAGE_MARKS.streamOrigins:
      return 'streamOrigins';
    case MESSAGE_MARKS.freshness:
      return 'freshness';
    default:
      return undefined;
  }
}

/** Orders the reports of one gateway across restarts. */
interface ReportVersion {
  readonly startedAt: number;
  readonly sequence: number;
}

function isNewer(report: ReportVersion, previous: ReportVersion): boolean {
  return report.startedAt === previous.startedAt
    ? report.sequence > previous.sequence
    : report.startedAt > previous.startedAt;
}
