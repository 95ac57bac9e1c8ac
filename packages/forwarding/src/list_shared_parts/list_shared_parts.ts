/**
 * The parts of a prompt that other requests may have too.
 */
import type {RequestMetadata} from '../dialect/dialect.js';

/** Parts of one prompt that are told apart; the first ones are the most common. */
const MAXIMUM_SHARED_PARTS = 32;

/**
 * Lists the parts of a prompt that other requests may have too: all but the
 * last, which belongs to the request or its session.
 *
 * @param metadata - What the headers state about the request
 * @returns Identifiers in prompt order, each once
 *
 * @example
 * listSharedParts({promptParts: [{id: 'a', tokens: 9}, {id: 'b', tokens: 5}]});
 * //=> ['a']
 */
export function listSharedParts({
  promptParts,
}: Pick<RequestMetadata, 'promptParts'>): readonly string[] {
  const ids = promptParts.slice(0, -1).map(({id}) => id);
  return [...new Set(ids)].slice(0, MAXIMUM_SHARED_PARTS);
}
