/**
 * Cutting a stream of bytes into whole events.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const IDENTIFIER_FIELD = /^id:[ ]?(.*)$/m;

/** An event as it came, with the blank line that ends it. */
export interface WholeEvent {
  readonly bytes: Buffer;
  /** Identifier of the event; absent when it has none. */
  readonly id?: string;
}

/**
 * Splits `text/event-stream` bytes at the blank lines between events.
 *
 * A parser of events would lose the bytes as they were sent, and those must
 * reach the caller unchanged.
 */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** Bytes that belong to no whole event yet. */
  get remainder(): Buffer {
    return this.pending;
  }

  /**
   * Takes bytes.
   *
   * @param chunk - Bytes in the order in which they came
   * @returns The events that are whole now
   */
  push(chunk: Buffer): WholeEvent[] {
    const bytes =
      this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const events: WholeEvent[] = [];
    let start = 0;
    let lineStart = 0;
    for (;;) {
      const lineEnd = bytes.indexOf(LINE_FEED, lineStart);
      if (lineEnd === -1) {
        break;
      }
      if (isBlankLine(bytes, lineStart, lineEnd)) {
        events.push(toEvent(bytes.subarray(start, lineEnd + 1)));
        start = lineEnd + 1;
      }
      lineStart = lineEnd + 1;
    }
    this.pending = bytes.subarray(start);
    return events;
  }
}

function isBlankLine(bytes: Buffer, start: number, end: number): boolean {
  return (
    end === start || (end === start + 1 && bytes[start] === CARRIAGE_RETURN)
  );
}

function toEvent(bytes: Buffer): WholeEvent {
  const match = IDENTIFIER_FIELD.exec(bytes.toString('latin1'));
  const id = match?.[1]?.replace(/\r$/, '');
  return id === undefined ? {bytes} : {bytes, id};
}
