/**
 * Which processes read a busy topic for all.
 */
import {READERS_PER_TOPIC} from '../constants.js';
import {rankByRendezvous} from '../rank_by_rendezvous/rank_by_rendezvous.js';

/**
 * Selects the processes that read a topic often and tell the others.
 *
 * Everyone computes the selection from whom it hears. Where views differ, one
 * more or one less reads, which costs calls or a little time and nothing else.
 *
 * @param processes - Processes that reach the store, by name
 * @param topic - The topic
 * @returns Their names
 *
 * @example
 * selectReaders(['front-1', 'front-2'], 'keyed.servers');
 */
export function selectReaders(
  processes: readonly string[],
  topic: string,
): readonly string[] {
  return rankByRendezvous(processes, topic).slice(0, READERS_PER_TOPIC);
}
