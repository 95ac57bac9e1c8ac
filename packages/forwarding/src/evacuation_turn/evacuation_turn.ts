/**
 * One gateway's turn to copy runs off an engine.
 */
import {rankByRendezvous, type Clock} from '@briarpin/coordination';
import {
  countRunsAhead,
  decideEvacuationTurn,
  type EvacuationPeer,
} from '@briarpin/scheduling';

/** Where the runs of other gateways are known. */
export interface EvacuationPeers {
  /** Name of this gateway. */
  readonly gateway: string;
  readonly findPeersWithRuns: (endpointId: string) => EvacuationPeer[];
}

/** Follows the progress of the gateways ahead. */
export class EvacuationTurn {
  private readonly startedAt: number;
  private runsAhead = Number.POSITIVE_INFINITY;
  private progressedAt: number;

  /**
   * @param endpointId - Engine that leaves
   * @param peers - What other gateways have there
   * @param clock - Time
   */
  constructor(
    private readonly endpointId: string,
    private readonly peers: EvacuationPeers,
    private readonly clock: Clock,
  ) {
    this.startedAt = clock.now();
    this.progressedAt = this.startedAt;
  }

  /** True when no other gateway has runs there. */
  isAlone(): boolean {
    return this.peers.findPeersWithRuns(this.endpointId).length === 0;
  }

  /** True when this gateway may copy. */
  hasCome(): boolean {
    const now = this.clock.now();
    const {gateway} = this.peers;
    const peers = this.peers.findPeersWithRuns(this.endpointId);
    const names = [gateway, ...peers.map(peer => peer.gateway)];
    const order = rankByRendezvous(names, this.endpointId);
    const runsAhead = countRunsAhead(peers, {gateway, order});
    if (runsAhead < this.runsAhead) {
      this.progressedAt = now;
    }
    this.runsAhead = runsAhead;
    return decideEvacuationTurn(peers, {
      gateway,
      order,
      waitedMilliseconds: now - this.startedAt,
      stalledMilliseconds: now - this.progressedAt,
    });
  }
}
