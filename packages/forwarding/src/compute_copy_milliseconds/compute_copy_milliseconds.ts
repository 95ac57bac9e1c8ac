/**
 * Estimates how long it takes to copy a generation's memory.
 */
import type {EngineProfile} from '@briarpin/coordination';

const BITS_PER_BYTE = 8;
const BITS_PER_MILLISECOND_PER_MEGABIT_PER_SECOND = 1_000;

/**
 * Computes the transfer time of a copy on an idle link.
 *
 * @param engine - Profile with the size of a token and the link bandwidth
 * @param tokens - Amount of memory to be copied, in tokens
 * @returns Milliseconds
 *
 * @example
 * computeCopyMilliseconds(engine, 4_000); //=> 218
 */
export function computeCopyMilliseconds(
  engine: EngineProfile,
  tokens: number,
): number {
  const bits = tokens * engine.bytesPerToken * BITS_PER_BYTE;
  const bitsPerMillisecond =
    engine.copyLinkMegabitsPerSecond *
    BITS_PER_MILLISECOND_PER_MEGABIT_PER_SECOND;
  return bits / bitsPerMillisecond;
}
