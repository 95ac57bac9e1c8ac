/**
 * Which gateway copies first, when several move runs off one engine.
 */

/** Another gateway with runs on the engine. */
export interface EvacuationPeer {
  readonly gateway: string;
  /** Runs that it still wants to move. */
  readonly movableRuns: number;
  /** Time since it told so. */
  readonly ageMilliseconds: number;
}

/** What {@link decideEvacuationTurn} needs. */
export interface EvacuationTurnOptions {
  /** Name of the gateway that asks. */
  readonly gateway: string;
  /** Gateways in the order in which all of them would go. */
  readonly order: readonly string[];
  /** Time since this gateway learned that the engine leaves. */
  readonly waitedMilliseconds: number;
  /** Time since the runs of the gateways ahead became fewer. */
  readonly stalledMilliseconds: number;
}

/**
 * Time after which a gateway that tells nothing is not waited for; several of
 * its regular reports.
 */
const SILENT_PEER_MILLISECONDS = 900;

/**
 * Time in which a gateway moves one run: a few thousand tokens on a link that
 * is also used by the copies of another engine.
 */
const EXPECTED_MOVE_MILLISECONDS = 500;

/** Longest wait for all others: the shortest notice less a move of one's own. */
const MAXIMUM_WAIT_MILLISECONDS = 1_100;

/**
 * Decides whether a gateway may begin to move its runs.
 *
 * The copies of one engine share its link, and the short last copy of one run
 * must not queue behind the long first copy of another. The gateways therefore
 * go one after another, in an order that all compute alike. Where they see
 * different things, two copy at once, which only costs time; a gateway that
 * makes no progress is waited for no longer than one run would take.
 *
 * @param peers - Other gateways with runs on the engine
 * @param options - Who asks, and the order
 * @returns True when it is this gateway's turn
 *
 * @example
 * decideEvacuationTurn([], {gateway: 'a', order: ['a'], waitedMilliseconds: 0,
 *   stalledMilliseconds: 0}); //=> true
 */
export function decideEvacuationTurn(
  peers: readonly EvacuationPeer[],
  options: EvacuationTurnOptions,
): boolean {
  return (
    countRunsAhead(peers, options) === 0 ||
    options.stalledMilliseconds >= EXPECTED_MOVE_MILLISECONDS ||
    options.waitedMilliseconds >= MAXIMUM_WAIT_MILLISECONDS
  );
}

/**
 * Counts the runs of the gateways that go first.
 *
 * @param peers - Other gateways with runs on the engine
 * @param options - Who asks, and the order
 */
export function countRunsAhead(
  peers: readonly EvacuationPeer[],
  {gateway, order}: Pick<EvacuationTurnOptions, 'gateway' | 'order'>,
): number {
  const own = order.indexOf(gateway);
  let runsAhead = 0;
  for (const peer of peers) {
    const isAhead = order.indexOf(peer.gateway) < own;
    if (isAhead && peer.ageMilliseconds < SILENT_PEER_MILLISECONDS) {
      runsAhead += peer.movableRuns;
    }
  }
  return runsAhead;
}
