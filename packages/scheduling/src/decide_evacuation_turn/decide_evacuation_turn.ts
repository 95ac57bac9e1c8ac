/**
 * Order in which several gateways move their runs off one engine.
 */

/** Another gateway with runs on the engine. */
export interface EvacuationPeer {
  readonly gateway: string;
  /** Runs that it has not moved yet. */
  readonly movableRuns: number;
  /** Age of that count, in milliseconds. */
  readonly ageMilliseconds: number;
}

/** Options of {@link decideEvacuationTurn}. */
export interface EvacuationTurnOptions {
  /** Name of the gateway that decides. */
  readonly gateway: string;
  /** Names of all gateways in the order of their turns. */
  readonly order: readonly string[];
  /**
   * Time since this gateway received the notice that the engine will stop, in
   * milliseconds.
   */
  readonly waitedMilliseconds: number;
  /**
   * Time since the number of runs of the gateways ahead last decreased, in
   * milliseconds.
   */
  readonly stalledMilliseconds: number;
}

/**
 * Age of the last report above which a gateway is no longer waited for: several
 * report intervals.
 */
const PEER_TIMEOUT_MILLISECONDS = 900;

/**
 * Expected time to move one run: a few thousand tokens over a link that is
 * shared with the copies of another engine.
 */
const EXPECTED_MOVE_MILLISECONDS = 500;

/**
 * Longest wait for all other gateways: the shortest notice before an engine
 * stops, less the time for one own move.
 */
const MAXIMUM_WAIT_MILLISECONDS = 1_100;

/**
 * Decides whether a gateway may begin to move its runs.
 *
 * All copies of one engine share its link, and the short last copy of one run
 * must not queue behind the long first copy of another. The gateways therefore
 * take turns in an order that each of them computes identically. When their
 * views differ, two gateways may copy at the same time, which only costs time.
 * A gateway without progress is waited for no longer than the expected time of
 * one move.
 *
 * @param peers - Other gateways with runs on the engine
 * @param options - The deciding gateway, the order and its waiting times
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
 * Counts the runs of the gateways whose turn comes earlier. Gateways without a
 * recent report are ignored.
 *
 * @param peers - Other gateways with runs on the engine
 * @param options - The deciding gateway and the order
 */
export function countRunsAhead(
  peers: readonly EvacuationPeer[],
  {gateway, order}: Pick<EvacuationTurnOptions, 'gateway' | 'order'>,
): number {
  const ownIndex = order.indexOf(gateway);
  let runsAhead = 0;
  for (const peer of peers) {
    const isAhead = order.indexOf(peer.gateway) < ownIndex;
    if (isAhead && peer.ageMilliseconds < PEER_TIMEOUT_MILLISECONDS) {
      runsAhead += peer.movableRuns;
    }
  }
  return runsAhead;
}
