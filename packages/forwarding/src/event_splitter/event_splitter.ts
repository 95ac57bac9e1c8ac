/**
 * Splits a stream of bytes into complete events.
 */

import {GrowingBuffer} from '@briarpin/platform';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;

/** Two line ends at the end of the bytes, whatever ends the lines. */
const BLANK_LINE_END_PATTERN = /(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)$/;

/** Longest pair of line ends. */
const LINE_END_PAIR_BYTES = 4;

const ID_FIELD = 'id:';
const LINE_ENDS = ['\n', '\r'] as const;

/** Unchanged bytes of one or more complete events in a row. */
export interface EventBatch {
  /**
   * The events, each with the blank line that ends it, and the comments and
   * blank lines before them.
   */
  readonly bytes: Buffer;
  /** Number of events; at least 1. */
  readonly eventCount: number;
  /** Newest identifier of an event; absent when none has one. */
  readonly lastId?: string;
}

/** What an unfinished line holds so far. */
type LineContent =
  | 'nothing'
  | 'carriage_return'
  | 'comment'
  /** A comment and a carriage return, which may end its line. */
  | 'ended_comment'
  | 'field';

/**
 * Splits `text/event-stream` bytes at the blank lines between events.
 *
 * Events are not parsed and serialised again, because their bytes must reach
 * the caller unchanged. Comments and blank lines without a field are no events:
 * they are returned with the event that follows them. Each byte is read once and
 * the events of a chunk are returned together, so that neither a long event nor
 * a great many bytes that are none cost more than their bytes.
 */
export class EventSplitter {
  private readonly pending = new GrowingBuffer();
  private line: LineContent = 'nothing';
  /** True if a finished line of the current event is a field. */
  private hasField = false;

  /** Bytes after the last complete event. */
  get remainder(): Buffer {
    return this.pending.bytes;
  }

  /** True when the bytes after the last complete event belong to another one. */
  get isInsideEvent(): boolean {
    if (!this.hasField && this.line !== 'field') {
      return false;
    }
    const end = this.remainder.subarray(-LINE_END_PAIR_BYTES);
    return !BLANK_LINE_END_PATTERN.test(end.toString('latin1'));
  }

  /**
   * Adds the next bytes of the stream.
   *
   * @param chunk - Bytes in the order of their arrival
   * @returns The events that the chunk completes; undefined if there is none
   */
  push(chunk: Buffer): EventBatch | undefined {
    let eventCount = 0;
    let batchEnd = 0;
    for (let index = 0; index < chunk.length; index += 1) {
      const byte = chunk[index];
      if (byte !== LINE_FEED) {
        this.line = extendLine(this.line, byte);
      } else if (this.endLine()) {
        eventCount += 1;
        batchEnd = index + 1;
      }
    }
    const batch =
      eventCount === 0
        ? undefined
        : createBatch(this.endEvents(chunk.subarray(0, batchEnd)), eventCount);
    if (batchEnd < chunk.length) {
      this.pending.append(chunk.subarray(batchEnd));
    }
    return batch;
  }

  /** Ends the current line; returns whether that completes an event. */
  private endLine(): boolean {
    const isBlank = this.line === 'nothing' || this.line === 'carriage_return';
    const completesEvent = isBlank && this.hasField;
    this.hasField = !isBlank && (this.hasField || this.line === 'field');
    this.line = 'nothing';
    return completesEvent;
  }

  /** Returns the bytes of events whose last ones have arrived. */
  private endEvents(lastBytes: Buffer): Buffer {
    if (this.pending.length === 0) {
      return lastBytes;
    }
    this.pending.append(lastBytes);
    return this.pending.take();
  }
}

/** Returns what a line holds with another byte that is no line feed. */
function extendLine(line: LineContent, byte: number | undefined): LineContent {
  switch (line) {
    case 'field':
      return line;
    case 'comment':
      return byte === CARRIAGE_RETURN ? 'ended_comment' : line;
    case 'nothing':
    case 'ended_comment':
      return beginLine(byte);
    case 'carriage_return':
      return 'field';
  }
}

function beginLine(byte: number | undefined): LineContent {
  switch (byte) {
    case COLON:
      return 'comment';
    case CARRIAGE_RETURN:
      return 'carriage_return';
    default:
      return 'field';
  }
}

function createBatch(bytes: Buffer, eventCount: number): EventBatch {
  const lastId = findLastId(bytes);
  return lastId === undefined
    ? {bytes, eventCount}
    : {bytes, eventCount, lastId};
}

/** Finds the identifier that was stated last. */
function findLastId(bytes: Buffer): string | undefined {
  const start = findLastIdLine(bytes);
  if (start === undefined) {
    return undefined;
  }
  const value = bytes.toString(
    'latin1',
    start + ID_FIELD.length,
    bytes.indexOf(LINE_FEED, start),
  );
  return value.replace(/^ /, '').replace(/\r.*$/, '');
}

/** Finds the beginning of the last line that states an identifier. */
function findLastIdLine(bytes: Buffer): number | undefined {
  const lineEnds = LINE_ENDS.map(end => bytes.lastIndexOf(end + ID_FIELD));
  const lineEnd = Math.max(...lineEnds);
  if (lineEnd !== -1) {
    return lineEnd + 1;
  }
  const isFirst = bytes.toString('latin1', 0, ID_FIELD.length) === ID_FIELD;
  return isFirst ? 0 : undefined;
}
