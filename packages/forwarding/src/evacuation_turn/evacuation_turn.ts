/**
 * Determines when one gateway may copy runs from an engine.
 */
import {rankByRendezvous, type Clock} from '@briarpin/coordination';
import {
  countRunsAhead,
  decideEvacuationTurn,
  type EvacuationPeer,
} from '@briarpin/scheduling';

/** Provides the runs of other gateways at an engine. */
export interface EvacuationPeers {
  /** Name of this gateway. */
  readonly gateway: string;
  readonly findPeersWithRuns: (endpointId: string) => EvacuationPeer[];
}

/**
 * Decides when this gateway may copy runs from one engine, by its rank among
 * the gateways with runs there and by the progress of those ranked before it.
 */
export class EvacuationTurn {
  private readonly startedAt: number;
  private runsAhead = Number.POSITIVE_INFINITY;
  private progressedAt: number;

  /**
   * @param endpointId - Engine that is shutting down
   * @param peers - Runs of the other gateways
   * @param clock - Clock of the wait and stall durations
   */
  constructor(
    private readonly endpointId: string,
    private readonly peers: EvacuationPeers,
    private readonly clock: Clock,
  ) {
    this.startedAt = clock.now();
    this.progressedAt = this.startedAt;
  }

  /** Returns true when no other gateway has runs at the engine. */
  isOnlyGateway(): boolean {
    return this.peers.findPeersWithRuns(this.endpointId).length === 0;
  }

  /**
   * Returns true when this gateway may copy. Each call updates the progress of
   * the gateways ranked before it.
   */
  mayCopy(): boolean {
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
