/**
 * Selects the processes that read a busy topic on behalf of all.
 */
import {READERS_PER_TOPIC} from '../constants.js';
import {KeeperSelector} from '../keeper_selector/keeper_selector.js';

/**
 * Selects the processes that read a topic frequently and forward its records.
 *
 * Each process computes the selection from the processes that it receives
 * messages from. Where views differ, there is one reader more or less, which
 * only costs extra reads or a short delay.
 *
 * @param processes - Names of the processes that can reach the store
 * @param topic - Name of the topic
 * @returns Names of the selected processes
 *
 * @example
 * selectReaders(['front-1', 'front-2'], 'keyed.servers');
 */
export function selectReaders(
  processes: readonly string[],
  topic: string,
): readonly string[] {
  return new KeeperSelector().select(processes, topic, READERS_PER_TOPIC);
}
