/**
 * Bytes that arrive in chunks, collected until a whole message is there.
 */

const EMPTY = Buffer.alloc(0);

/** Factor by which the memory grows when it is full. */
const GROWTH_FACTOR = 2;

/**
 * Collects chunks in contiguous memory.
 *
 * The memory doubles when it is full, so that each byte is copied a constant
 * number of times however small the chunks are, and that no chunk is kept: the
 * object of a chunk takes far more memory than a byte.
 *
 * @example
 * const buffer = new GrowingBuffer();
 * buffer.append(Buffer.from('ab'));
 * buffer.append(Buffer.from('c'));
 * buffer.take().toString(); //=> 'abc'
 */
export class GrowingBuffer {
  private storage: Buffer = EMPTY;
  private size = 0;

  /**
   * @param expectedBytes - Size of the whole message if it is known; the memory
   *   then need not grow
   */
  constructor(private readonly expectedBytes = 0) {}

  /** Number of bytes collected. */
  get length(): number {
    return this.size;
  }

  /** The bytes collected; valid until the next call that changes them. */
  get bytes(): Buffer {
    return this.storage.subarray(0, this.size);
  }

  /**
   * Adds the next bytes.
   *
   * @param chunk - Bytes in the order of their arrival; copied
   */
  append(chunk: Buffer): void {
    const needed = this.size + chunk.length;
    if (needed > this.storage.length) {
      const grown = Buffer.allocUnsafeSlow(
        Math.max(
          needed,
          this.expectedBytes,
          this.storage.length * GROWTH_FACTOR,
        ),
      );
      this.bytes.copy(grown);
      this.storage = grown;
    }
    chunk.copy(this.storage, this.size);
    this.size = needed;
  }

  /**
   * Returns the bytes collected and begins anew.
   *
   * @returns Bytes that no later call changes
   */
  take(): Buffer {
    const {bytes} = this;
    this.storage = EMPTY;
    this.size = 0;
    return bytes;
  }
}
