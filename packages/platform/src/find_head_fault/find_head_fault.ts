/**
 * Decides whether the bytes before the body of a response are its head.
 */

/**
 * A status line of HTTP/1; its first group is the class of the status. A reason
 * need not follow.
 */
const STATUS_LINE =
  /HTTP\/1\.[01] ([1-5])\d\d(?: [\t\x20-\x7e\x80-\xff]*)?\r\n/y;

/** A field line; a line that begins with a blank would continue the one before. */
const FIELD_LINE = /[\w!#$%&'*+.^`|~-]+:[\t\x20-\x7e\x80-\xff]*\r\n/y;

const BLANK_LINES = /(?:\r\n)*/y;

const LINE_END = '\r\n';

/** Class of the statuses of responses that precede the final one. */
const INFORMATIONAL_CLASS = '1';

/**
 * Finds out why the bytes before a body are no head of a response.
 *
 * Versions of Node.js differ in the bytes that their parsers refuse, and options
 * of the process change them. This decision depends on neither: what is no head
 * in HTTP/1 is none here.
 *
 * @param bytes - All that has arrived for a request, from the first byte to the
 *   end of the final head or beyond; informational heads may precede that one
 * @returns What is wrong with it; undefined for a head in order
 *
 * @example
 * findHeadFault(Buffer.from('HTTP/1.1 000 OK\r\n\r\n'));
 * //=> 'the answer has a malformed status line'
 */
export function findHeadFault(bytes: Buffer): string | undefined {
  const text = bytes.toString('latin1');
  let position = 0;
  for (;;) {
    position = matchAt(BLANK_LINES, text, position)?.end ?? position;
    const status = matchAt(STATUS_LINE, text, position);
    if (status === undefined) {
      return 'the answer has a malformed status line';
    }
    position = status.end;
    while (!text.startsWith(LINE_END, position)) {
      const field = matchAt(FIELD_LINE, text, position);
      if (field === undefined) {
        return 'the answer has a malformed field line';
      }
      position = field.end;
    }
    position += LINE_END.length;
    if (status.group !== INFORMATIONAL_CLASS) {
      return undefined;
    }
  }
}

/** Matches a sticky pattern at a position. */
function matchAt(
  pattern: RegExp,
  text: string,
  position: number,
): {readonly end: number; readonly group?: string} | undefined {
  pattern.lastIndex = position;
  const match = pattern.exec(text);
  return match === null
    ? undefined
    : {end: position + match[0].length, group: match[1]};
}
