/**
 * Selects the processes that poll the configuration stream.
 */
import type {Member} from '@briarpin/messages';

import {LOG_POLLERS_PER_AVAILABILITY_ZONE} from '../constants.js';
import {rankByRendezvous} from '../rank_by_rendezvous/rank_by_rendezvous.js';

/**
 * Selects the pollers of the configuration stream in one availability zone.
 *
 * Other processes receive updates from peers. A few pollers per zone bound the
 * load on the log, and a partitioned zone still has its own. The selection
 * needs no coordination: a stale list results in a few more or fewer pollers,
 * and a process whose configuration becomes stale reads the log itself.
 *
 * @param members - The membership list
 * @param availabilityZone - The zone
 * @returns Instance names, highest rank first
 *
 * @example
 * selectLogPollers(members, 'zone-a').indexOf('gateway-1'); //=> 0
 */
export function selectLogPollers(
  members: readonly Member[],
  availabilityZone: string,
): readonly string[] {
  const names = members
    .filter(member => member.availabilityZone === availabilityZone)
    .filter(member => member.state === 'live')
    .map(member => member.instance);
  const ranked = rankByRendezvous(names, `log-pollers/${availabilityZone}`);
  return ranked.slice(0, LOG_POLLERS_PER_AVAILABILITY_ZONE);
}
