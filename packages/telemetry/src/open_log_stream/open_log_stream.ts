/**
 * Log stream that never blocks the process.
 */
import {fstatSync} from 'node:fs';
import net from 'node:net';
import {Writable} from 'node:stream';

/**
 * Maximum size of the lines buffered for a reader that does not read, in bytes;
 * holds a few seconds of the largest line budget.
 */
const MAXIMUM_BUFFERED_BYTES = 262_144;

/**
 * Stream that drops lines while its reader does not read.
 *
 * Node writes to a pipe synchronously through `process.stdout`, so a stopped
 * reader would block the process.
 */
export class DroppingStream extends Writable {
  private dropped = 0;

  /**
   * @param target - Stream that receives the lines and buffers those that
   *     cannot be written yet
   */
  constructor(private readonly target: Writable) {
    super({decodeStrings: false});
    // Without a listener, the error of a closed reader would terminate the
    // process; only the log is lost.
    target.on('error', () => undefined);
  }

  /** Returns the number of lines dropped since the last call. */
  consumeDroppedCount(): number {
    const {dropped} = this;
    this.dropped = 0;
    return dropped;
  }

  override _write(
    line: string | Buffer,
    _encoding: BufferEncoding,
    done: () => void,
  ): void {
    if (this.target.writableLength + line.length > MAXIMUM_BUFFERED_BYTES) {
      this.dropped += 1;
    } else {
      this.target.write(line);
    }
    done();
  }
}

/**
 * Opens a file descriptor for logs.
 *
 * @param descriptor - File descriptor, 1 for standard output; one that is
 *     neither a pipe nor a socket is replaced by standard output
 * @returns A stream that drops lines instead of blocking
 *
 * @example
 * createLogger({level: 'info', fields: {}, stream: openLogStream(1)});
 */
export function openLogStream(descriptor: number): DroppingStream {
  const status = fstatSync(descriptor);
  const isPipe = status.isFIFO() || status.isSocket();
  const target: Writable = isPipe
    ? new net.Socket({fd: descriptor, readable: false, writable: true})
    : process.stdout;
  return new DroppingStream(target);
}
