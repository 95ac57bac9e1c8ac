/**
 * Server side of the bidirectional exchange stream between a sidecar and each
 * gateway.
 */
import type {
  ExchangeReply,
  ExchangeRequest,
  LoadReport,
} from '@briarpin/messages';
import type {ServerDuplexStream} from '@grpc/grpc-js';

import {
  applyConfigurationReport,
  toReportedAge,
} from '../shared/configuration_report.js';
import type {ProcessContext} from '../shared/process_context.js';

type ExchangeCall = ServerDuplexStream<ExchangeRequest, ExchangeReply>;

interface Peer {
  /** Configuration version that the gateway last reported or was sent. */
  version: number;
}

/**
 * Sends load reports and configuration updates to every connected gateway.
 */
export class ExchangeService {
  private readonly peers = new Map<ExchangeCall, Peer>();

  constructor(
    private readonly context: ProcessContext,
    private readonly report: () => LoadReport,
  ) {}

  /** Number of connected gateways. */
  get peerCount(): number {
    return this.peers.size;
  }

  /** Registers a gateway's stream and sends the first report. */
  accept(call: ExchangeCall): void {
    const peer: Peer = {version: 0};
    this.peers.set(call, peer);
    call.on('data', (request: ExchangeRequest) => {
      peer.version = Math.max(peer.version, request.configurationVersion);
      applyConfigurationReport(this.context.replica, request);
      if (this.context.replica.table.version > peer.version) {
        this.send(call, peer);
      }
    });
    const removePeer = () => this.peers.delete(call);
    call.on('end', () => {
      removePeer();
      call.end();
    });
    call.on('cancelled', removePeer);
    call.on('error', removePeer);
    this.send(call, peer);
  }

  /** Sends a report to every connected gateway immediately. */
  broadcast(): void {
    for (const [call, peer] of this.peers) {
      this.send(call, peer);
    }
  }

  /** Sends reports periodically until the process ends. */
  async run(intervalMilliseconds: number): Promise<void> {
    const {clock, signal} = this.context;
    while (!signal.aborted) {
      await clock.sleep(intervalMilliseconds, signal);
      this.broadcast();
    }
  }

  /** Ends every stream. */
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
      newsAgeMilliseconds: toReportedAge(replica),
      update,
      load: this.report(),
    });
  }
}
