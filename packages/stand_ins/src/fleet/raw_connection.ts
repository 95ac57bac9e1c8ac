/**
 * Connection of a caller that sends its bytes one part at a time.
 */
import net from 'node:net';

/** Open connection and the bytes that came back on it. */
export class RawConnection {
  private text = '';
  private failure: string | undefined;
  private isClosed = false;
  /** Resolves when the connection has closed, with an error or without. */
  readonly closed: Promise<void>;

  private constructor(private readonly socket: net.Socket) {
    socket.setEncoding('latin1');
    socket.on('data', (part: string) => (this.text += part));
    socket.on('error', error => (this.failure = error.message));
    this.closed = new Promise(resolve =>
      socket.on('close', () => {
        this.isClosed = true;
        resolve();
      }),
    );
  }

  /**
   * Opens a connection.
   *
   * @param url - Base URL of the gateway
   * @returns The connection
   * @throws Error when the gateway does not accept it
   */
  static open(url: string): Promise<RawConnection> {
    const {hostname, port} = new URL(url);
    const socket = net.connect({host: hostname, port: Number(port)});
    return new Promise((resolve, reject) => {
      socket.once('error', reject);
      socket.once('connect', () => {
        socket.off('error', reject);
        resolve(new RawConnection(socket));
      });
    });
  }

  /** Everything received so far. */
  get received(): string {
    return this.text;
  }

  /** Message of the error that ended the connection. */
  get error(): string | undefined {
    return this.failure;
  }

  /** True once the connection has closed. */
  get hasClosed(): boolean {
    return this.isClosed;
  }

  /** Sends bytes; they are dropped when the connection has closed. */
  send(text: string): void {
    if (!this.isClosed) {
      this.socket.write(text);
    }
  }

  /** Stops reading until {@link resumeReading}. */
  pauseReading(): void {
    this.socket.pause();
  }

  /** Reads again. */
  resumeReading(): void {
    this.socket.resume();
  }

  /** Closes the connection at once. */
  close(): void {
    this.socket.destroy();
  }
}
