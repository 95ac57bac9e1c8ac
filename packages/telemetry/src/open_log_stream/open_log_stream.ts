/**
 * A stream for logs that never blocks the process.
 */
import {fstatSync} from 'node:fs';
import net from 'node:net';
import {Writable} from 'node:stream';

/**
 * Lines that wait for a reader that has stopped reading, in bytes: some
 * seconds of the largest budget of lines.
 */
const MAXIMUM_BUFFERED_BYTES = 262_144;

/**
 * Drops lines while a reader does not read.
 *
 * Writes to a pipe are synchronous in Node when they go through
 * `process.stdout`, and would stop the process with its reader.
 */
export class DroppingStream extends Writable {
  private dropped = 0;

  /**
   * @param target - Where lines go; buffers what cannot be written yet
   */
  constructor(private readonly target: Writable) {
    super({decodeStrings: false});
    // A reader that has gone takes the log with it, not the process.
    target.on('error', () => undefined);
  }

  /** Lines dropped since the last call. */
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
 * Opens a descriptor for logs.
 *
 * @param descriptor - 1 for standard output
 * @returns A stream that drops lines rather than wait
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
