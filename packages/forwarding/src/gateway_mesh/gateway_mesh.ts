/**
 * What gateways tell one another of their open work.
 */
import dgram from 'node:dgram';

import type {Clock} from '@briarpin/coordination';
import {
  GatewayNews,
  type ArrivedEndpoint,
  type EndpointWork,
  type LeavingEndpoint,
} from '@briarpin/messages';
import type {EvacuationPeer} from '@briarpin/scheduling';
import type {EventLogger} from '@briarpin/telemetry';

/** Where another gateway takes news. */
export interface GatewayPeer {
  readonly gateway: string;
  readonly host: string;
  readonly port: number;
}

/** Newest news of another gateway. */
export interface ReceivedNews {
  readonly gateway: string;
  readonly work: ReadonlyMap<string, EndpointWork>;
  /** Endpoints that it has lately seen leave. */
  readonly leaving: readonly LeavingEndpoint[];
  /** Endpoints that it has lately read of for the first time. */
  readonly arrived: readonly ArrivedEndpoint[];
  /** Time since it had read the endpoints from the store. */
  readonly endpointsAgeMilliseconds: number;
  /** Time since it had read anything from the store. */
  readonly storeAgeMilliseconds: number;
  /** Milliseconds of the clock. */
  readonly receivedAt: number;
}

/** What a gateway tells of itself. */
export interface OwnNews {
  readonly work: EndpointWork[];
  readonly leaving: LeavingEndpoint[];
  readonly arrived: ArrivedEndpoint[];
  readonly endpointsAgeMilliseconds: number;
  readonly storeAgeMilliseconds: number;
}

/** Options of {@link GatewayMesh}. */
export interface GatewayMeshOptions {
  readonly gateway: string;
  readonly host: string;
  /** 0 for any free port. */
  readonly port: number;
  readonly clock: Clock;
  readonly logger: EventLogger;
  /** Start of the process, in milliseconds since the epoch. */
  readonly startedAt: number;
  /** What this gateway has to tell. */
  readonly readNews: () => OwnNews;
  /** Takes news; what it says replaces what was said before. */
  readonly onNews: (news: ReceivedNews) => void;
}

/** Shortest time between two regular reports. */
const MINIMUM_INTERVAL_MILLISECONDS = 150;

/**
 * Time between two regular reports for each peer; work that begins is told at
 * once.
 */
const INTERVAL_PER_PEER_MILLISECONDS = 15;

/** Entries of a report: about one packet of an Ethernet, most of the time. */
const MAXIMUM_ENTRIES = 48;

/**
 * Tells all other gateways what this one has open, by datagrams.
 *
 * News are only hints: each replaces the one before, and what is lost is made
 * up for by the next. Nothing is agreed on here.
 */
export class GatewayMesh {
  private readonly socket = dgram.createSocket('udp4');
  private readonly newest = new Map<string, ReceivedNews & NewsVersion>();
  private peers: readonly GatewayPeer[] = [];
  /** Gateways that are heard and not among the peers yet. */
  private readonly heard = new Map<string, GatewayPeer>();
  private sequence = 0;

  /**
   * @param options - Who tells what, and who listens
   */
  constructor(private readonly options: GatewayMeshOptions) {
    this.socket.on('message', (message, sender) => this.take(message, sender));
    this.socket.on('error', error =>
      options.logger.warn('gateway_mesh_failed', {message: error.message}),
    );
  }

  /**
   * Starts to listen.
   *
   * @returns The port
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

  /** Replaces the gateways that are told. */
  setPeers(peers: readonly GatewayPeer[]): void {
    const {gateway} = this.options;
    this.peers = peers.filter(peer => peer.gateway !== gateway);
    this.peers.forEach(peer => this.heard.delete(peer.gateway));
  }

  /** Name of this gateway. */
  get gateway(): string {
    return this.options.gateway;
  }

  /** Gateways that are heard and that reach the store. */
  findInContact(maximumAgeMilliseconds: number): string[] {
    const now = this.options.clock.now();
    return [...this.newest.values()]
      .filter(
        ({storeAgeMilliseconds, receivedAt}) =>
          storeAgeMilliseconds + now - receivedAt < maximumAgeMilliseconds,
      )
      .map(({gateway}) => gateway);
  }

  /** Age of the newest endpoints that another gateway has told of. */
  toldEndpointsAgeMilliseconds(): number {
    const now = this.options.clock.now();
    const ages = [...this.newest.values()].map(
      ({endpointsAgeMilliseconds, receivedAt}) =>
        endpointsAgeMilliseconds + now - receivedAt,
    );
    return Math.min(Number.POSITIVE_INFINITY, ...ages);
  }

  /** Other gateways that want to move runs off an endpoint. */
  findPeersWithRuns(endpointId: string): EvacuationPeer[] {
    const now = this.options.clock.now();
    const peers: EvacuationPeer[] = [];
    for (const {gateway, work, receivedAt} of this.newest.values()) {
      const movableRuns = work.get(endpointId)?.movableRuns ?? 0;
      if (movableRuns > 0) {
        peers.push({gateway, movableRuns, ageMilliseconds: now - receivedAt});
      }
    }
    return peers;
  }

  /** Drops the news of gateways that have been silent for a time. */
  forgetSilent(silenceMilliseconds: number): readonly string[] {
    const now = this.options.clock.now();
    const silent = [...this.newest.values()]
      .filter(news => now - news.receivedAt > silenceMilliseconds)
      .map(news => news.gateway);
    silent.forEach(gateway => {
      this.newest.delete(gateway);
      this.heard.delete(gateway);
    });
    return silent;
  }

  /** Tells the others now. */
  tell(): void {
    this.sequence += 1;
    const news = this.options.readNews();
    const message = GatewayNews.encode({
      ...news,
      gateway: this.options.gateway,
      startedAt: this.options.startedAt,
      sequence: this.sequence,
      work: news.work.slice(0, MAXIMUM_ENTRIES),
    }).finish();
    for (const {host, port} of [...this.peers, ...this.heard.values()]) {
      this.socket.send(message, port, host);
    }
  }

  /**
   * Tells the others regularly until the signal ends it.
   *
   * @returns When the signal is aborted
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.tell();
      const interval = Math.max(
        MINIMUM_INTERVAL_MILLISECONDS,
        this.peers.length * INTERVAL_PER_PEER_MILLISECONDS,
      );
      await this.options.clock.sleep(interval, signal);
    }
    this.socket.close();
  }

  private take(message: Buffer, sender: dgram.RemoteInfo): void {
    let news: GatewayNews;
    try {
      news = GatewayNews.decode(message);
    } catch (error) {
      const text = error instanceof Error ? error.message : String(error);
      this.options.logger.warn('gateway_news_broken', {message: text});
      return;
    }
    const {gateway} = news;
    const before = this.newest.get(gateway);
    if (before !== undefined && !isNewer(news, before)) {
      return;
    }
    if (!this.peers.some(peer => peer.gateway === gateway)) {
      const {address: host, port} = sender;
      this.heard.set(gateway, {gateway, host, port});
    }
    const received = {
      ...news,
      work: new Map(news.work.map(entry => [entry.endpoint, entry])),
      receivedAt: this.options.clock.now(),
    };
    this.newest.set(gateway, received);
    this.options.onNews(received);
  }
}

interface NewsVersion {
  readonly startedAt: number;
  readonly sequence: number;
}

function isNewer(news: NewsVersion, before: NewsVersion): boolean {
  return news.startedAt === before.startedAt
    ? news.sequence > before.sequence
    : news.startedAt > before.startedAt;
}
