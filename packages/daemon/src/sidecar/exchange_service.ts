/**
 * The sidecar's side of the exchange with each gateway.
 */
import type {
  ExchangeReply,
  ExchangeRequest,
  LoadReport,
} from '@briarpin/messages';
import type {ServerDuplexStream} from '@grpc/grpc-js';

import {takeNews, toNewsAge} from '../shared/configuration_news.js';
import type {ProcessContext} from '../shared/process_context.js';

type ExchangeCall = ServerDuplexStream<ExchangeRequest, ExchangeReply>;

interface Peer {
  /** Version that the gateway said last. */
  version: number;
}

/**
 * Sends load reports and configuration to every connected gateway.
 */
export class ExchangeService {
  private readonly peers = new Map<ExchangeCall, Peer>();

  constructor(
    private readonly context: ProcessContext,
    private readonly report: () => LoadReport,
  ) {}

  /** Gateways that are connected. */
  get peerCount(): number {
    return this.peers.size;
  }

  /** Takes a new exchange. */
  accept(call: ExchangeCall): void {
    const peer: Peer = {version: 0};
    this.peers.set(call, peer);
    call.on('data', (request: ExchangeRequest) => {
      peer.version = Math.max(peer.version, request.configurationVersion);
      takeNews(this.context.replica, request);
      if (this.context.replica.table.version > peer.version) {
        this.send(call, peer);
      }
    });
    const forget = () => this.peers.delete(call);
    call.on('end', () => {
      forget();
      call.end();
    });
    call.on('cancelled', forget);
    call.on('error', forget);
    this.send(call, peer);
  }

  /** Reports to every gateway now. */
  broadcast(): void {
    for (const [call, peer] of this.peers) {
      this.send(call, peer);
    }
  }

  /** Reports at an interval until the process ends. */
  async run(intervalMilliseconds: number): Promise<void> {
    const {clock, signal} = this.context;
    while (!signal.aborted) {
      await clock.sleep(intervalMilliseconds, signal);
      this.broadcast();
    }
  }

  /** Ends every exchange. */
  close(): void {
    for (const call of this.peers.keys()) {
      call.end();
    }
    this.peers.clear();
  }

  private send(call: ExchangeCall, peer: Peer): void {
    const {replica} = this.context;
    const update = replica.findUpdateSince(peer.version);
    if (update !== undefined) {
      peer.version = update.version;
    }
    call.write({
      configurationVersion: replica.table.version,
      newsAgeMilliseconds: toNewsAge(replica),
      update,
      load: this.report(),
    });
  }
}
