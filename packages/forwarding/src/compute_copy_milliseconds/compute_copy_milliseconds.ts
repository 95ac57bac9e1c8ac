/**
 * Time to copy a generation's memory.
 */
import type {EngineProfile} from '@briarpin/coordination';

const BITS_PER_BYTE = 8;
const BITS_PER_MILLISECOND_AND_MEGABIT = 1_000;

/**
 * Computes the time of a copy on an idle link.
 *
 * @param engine - What the engines are like
 * @param tokens - Memory to be copied
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
    engine.copyLinkMegabitsPerSecond * BITS_PER_MILLISECOND_AND_MEGABIT;
  return bits / bitsPerMillisecond;
}
