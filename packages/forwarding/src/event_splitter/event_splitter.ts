/**
 * Splits a stream of bytes into complete events.
 */

import {GrowingBuffer} from '@briarpin/platform';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Nothing but lines that are comments. */
const COMMENTS_PATTERN = /^(?::[^\r\n]*(?:\r\n|\n|\r|$))*$/;

/** A blank line at the end, whatever ends the lines. */
const BLANK_LINE_END_PATTERN = /(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)$/;

const ID_FIELD_PATTERN = /^id:[ ]?(.*)$/m;

/** Unchanged bytes of an event, including the blank line that ends it. */
export interface RawEvent {
  readonly bytes: Buffer;
  /** Identifier of the event; absent when it has none. */
  readonly id?: string;
}

/** What an unfinished line holds so far. */
type LineContent = 'nothing' | 'carriage_return' | 'text';

/**
 * Splits `text/event-stream` bytes at the blank lines between events.
 *
 * Events are not parsed and serialised again, because their bytes must reach
 * the caller unchanged. Each byte is searched once, so that an event that is
 * long, or never ends, costs no more than its bytes.
 */
export class EventSplitter {
  private readonly pending = new GrowingBuffer();
  private line: LineContent = 'nothing';

  /** Bytes of an event that is not complete yet. */
  get remainder(): Buffer {
    return this.pending.bytes;
  }

  /** True when the bytes after the last complete event belong to another one. */
  get isInsideEvent(): boolean {
    const text = this.remainder.toString('latin1');
    return !COMMENTS_PATTERN.test(text) && !BLANK_LINE_END_PATTERN.test(text);
  }

  /**
   * Adds the next bytes of the stream.
   *
   * @param chunk - Bytes in the order of their arrival
   * @returns The events that the chunk completes
   */
  push(chunk: Buffer): RawEvent[] {
    const events: RawEvent[] = [];
    let eventStart = 0;
    let lineStart = 0;
    for (;;) {
      const lineEnd = chunk.indexOf(LINE_FEED, lineStart);
      this.addToLine(chunk, lineStart, lineEnd);
      if (lineEnd === -1) {
        break;
      }
      lineStart = lineEnd + 1;
      if (this.line !== 'text') {
        events.push(
          createEvent(this.endEvent(chunk.subarray(eventStart, lineStart))),
        );
        eventStart = lineStart;
      }
      this.line = 'nothing';
    }
    if (eventStart < chunk.length) {
      this.pending.append(chunk.subarray(eventStart));
    }
    return events;
  }

  /** Records the bytes of a line in a chunk; `end` is -1 if it goes on. */
  private addToLine(chunk: Buffer, start: number, end: number): void {
    const length = (end === -1 ? chunk.length : end) - start;
    if (length === 0) {
      return;
    }
    const isReturn = length === 1 && chunk[start] === CARRIAGE_RETURN;
    this.line =
      isReturn && this.line === 'nothing' ? 'carriage_return' : 'text';
  }

  /** Returns the bytes of an event whose last ones have arrived. */
  private endEvent(lastBytes: Buffer): Buffer {
    if (this.pending.length === 0) {
      return lastBytes;
    }
    this.pending.append(lastBytes);
    return this.pending.take();
  }
}

function createEvent(bytes: Buffer): RawEvent {
  const match = ID_FIELD_PATTERN.exec(bytes.toString('latin1'));
  const id = match?.[1]?.replace(/\r$/, '');
  return id === undefined ? {bytes} : {bytes, id};
}
