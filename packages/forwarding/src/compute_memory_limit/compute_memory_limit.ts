/**
 * Derives the memory for bodies from the memory of the process.
 */

const BYTES_PER_MEGABYTE = 1_000_000;

/**
 * Memory of the runtime, the code and the state of a gateway: 60 to 90 MB of
 * resident memory without load.
 */
const RUNTIME_MEGABYTES = 90;

/**
 * Share of the rest that bodies may hold. Chunks and bodies that are no longer
 * used take more than those that are: V8 collects external memory only after it
 * has grown by 64 MB. With a half, 20 callers that uploaded 4 MB each took a
 * gateway of 178 MB to 184 MB, with a quarter to 172 MB.
 */
const HELD_SHARE = 1 / 6;

/**
 * Least limit, in megabytes: a gateway with less memory still accepts one of the
 * largest bodies at a time, also without a stated length.
 */
const MINIMUM_LIMIT_MEGABYTES = 12;

/**
 * Computes how many bytes of bodies, buffered responses and unsent bytes a
 * gateway may hold.
 *
 * @param memoryMegabytes - Memory of the process, in megabytes; undefined if it
 *   is not stated
 * @returns Limit in bytes; infinity if the memory is not stated
 *
 * @example
 * computeMemoryLimit(178); //=> 14_666_666
 */
export function computeMemoryLimit(
  memoryMegabytes: number | undefined,
): number {
  if (memoryMegabytes === undefined) {
    return Number.POSITIVE_INFINITY;
  }
  const megabytes = (memoryMegabytes - RUNTIME_MEGABYTES) * HELD_SHARE;
  return Math.floor(
    Math.max(MINIMUM_LIMIT_MEGABYTES, megabytes) * BYTES_PER_MEGABYTE,
  );
}
