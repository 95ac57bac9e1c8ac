/**
 * Bounded, typed channels between concurrent tasks.
 */
import csp from 'js-csp';

interface Envelope<T> {
  readonly value: T;
}

/**
 * A bounded channel whose senders wait while it is full.
 *
 * Closing it ends sending; values sent before are still received.
 */
export class Channel<T> {
  private readonly channel: csp.CspChannel;

  /**
   * @param capacity - Number of values buffered before senders wait
   */
  constructor(capacity: number) {
    this.channel = csp.chan(capacity);
  }

  get isClosed(): boolean {
    return this.channel.isClosed();
  }

  /**
   * Sends a value and waits until the channel accepts it.
   *
   * @param value - The value
   * @returns False when the channel is closed
   */
  send(value: T): Promise<boolean> {
    const envelope: Envelope<T> = {value};
    return new Promise(resolve => {
      csp.putAsync(this.channel, envelope, accepted => resolve(accepted));
    });
  }

  /**
   * Waits for the next value.
   *
   * @returns The value; undefined when the channel is closed and empty
   */
  receive(): Promise<T | undefined> {
    return new Promise(resolve => {
      csp.takeAsync(this.channel, received => {
        resolve(
          received === csp.CLOSED ? undefined : (received as Envelope<T>).value,
        );
      });
    });
  }

  /** Closes the channel for senders; buffered values can still be received. */
  close(): void {
    this.channel.close();
  }
}
