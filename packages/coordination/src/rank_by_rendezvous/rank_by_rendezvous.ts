/**
 * Rendezvous hashing: every process computes the same order without
 * coordination.
 */
import {createHash} from 'node:crypto';

/**
 * Ranks names for a key by rendezvous hashing.
 *
 * The order depends only on the names and the key. Adding or removing a name
 * does not change the relative order of the others.
 *
 * @param names - Names to rank
 * @param key - Hash key of the ranking
 * @returns The names, highest rank first
 *
 * @example
 * rankByRendezvous(['a', 'b', 'c'], 'service/zone').slice(0, 2);
 */
export function rankByRendezvous(
  names: readonly string[],
  key: string,
): readonly string[] {
  const scored = names.map(name => ({name, score: hash(`${key}\n${name}`)}));
  scored.sort(
    (left, right) =>
      Buffer.compare(right.score, left.score) ||
      (left.name < right.name ? -1 : 1),
  );
  return scored.map(({name}) => name);
}

function hash(text: string): Buffer {
  return createHash('sha1').update(text).digest();
}
