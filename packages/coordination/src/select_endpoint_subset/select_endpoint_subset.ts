/**
 * Selects the endpoints that a gateway connects to.
 */
import type {Member} from '@briarpin/messages';

import {rankByRendezvous} from '../rank_by_rendezvous/rank_by_rendezvous.js';

/** Options of {@link selectEndpointSubset}. */
export interface SelectEndpointSubsetOptions {
  /** Instance name of the gateway. */
  readonly instance: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** Maximum number of endpoints. */
  readonly size: number;
}

/**
 * Selects the endpoints of one service that a gateway connects to.
 *
 * Half of the subset comes from the gateway's own availability zone, a quarter
 * from the rest of its region and a quarter from other regions. Unfilled places
 * are filled from all groups, nearest first. A gateway whose zone or region is
 * partitioned still has other endpoints, and the number of connections is
 * bounded at any fleet size.
 *
 * @param members - Live members of the service
 * @param options - Location of the gateway and size of the subset
 * @returns The selected members
 *
 * @example
 * selectEndpointSubset(members, {instance: 'g1', availabilityZone: 'a', region: 'r', size: 24});
 */
export function selectEndpointSubset(
  members: readonly Member[],
  options: SelectEndpointSubsetOptions,
): readonly Member[] {
  const {availabilityZone, region, size} = options;
  const ranked = rankMembers(members, options.instance);
  const local = ranked.filter(
    member => member.availabilityZone === availabilityZone,
  );
  const near = ranked.filter(
    member =>
      member.region === region && member.availabilityZone !== availabilityZone,
  );
  const far = ranked.filter(member => member.region !== region);
  const quarter = Math.floor(size / 4);
  const firstChoice = [
    ...local.slice(0, size - 2 * quarter),
    ...near.slice(0, quarter),
    ...far.slice(0, quarter),
  ];
  const selected = new Set(firstChoice);
  for (const member of [...local, ...near, ...far]) {
    if (selected.size >= size) {
      break;
    }
    selected.add(member);
  }
  return [...selected];
}

function rankMembers(
  members: readonly Member[],
  instance: string,
): readonly Member[] {
  const byName = new Map(members.map(member => [member.instance, member]));
  return rankByRendezvous([...byName.keys()], instance).flatMap(
    name => byName.get(name) ?? [],
  );
}
