/**
 * Answers of servers in trouble whose heads are none in HTTP.
 */
import type {Socket} from 'node:net';

/** Header fields of an answer, by name. */
export type HeadFields = Readonly<Record<string, string>>;

/** Lines of a head, and what follows it. */
interface HeadParts {
  readonly statusLine: string;
  readonly lines: readonly string[];
  readonly body: string;
}

/** Text that no caller may get: it is in the body of each broken answer. */
export const BROKEN_MARK = 'broken-answer';

/** Name of the field that is odd in a broken head. */
export const ODD_FIELD = 'X-Odd';

/** Event, and whole body, of each broken answer. */
const BODY = `id: 1\ndata: ${BROKEN_MARK}\n\n`;

const LENGTH_LINE = `Content-Length: ${BODY.length}`;

const CHUNKED_BODY = `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`;

const ODD_BYTES: Readonly<Record<string, string>> = {
  blank: ' ',
  tab: '\t',
  NUL: '\0',
  SOH: '\x01',
  VT: '\v',
  ESC: '\x1b',
  DEL: '\x7f',
  CR: '\r',
  LF: '\n',
};

/** Bytes that a value or a reason may hold. */
const ALLOWED_IN_TEXT: readonly string[] = ['blank', 'tab'];

const ODD_STATUS_LINES: Readonly<Record<string, string>> = {
  'the status 000': 'HTTP/1.1 000 OK',
  'the status 099': 'HTTP/1.1 099 OK',
  'the status 600': 'HTTP/1.1 600 OK',
  'the status 20': 'HTTP/1.1 20 OK',
  'the status 2000': 'HTTP/1.1 2000 OK',
  'the status -200': 'HTTP/1.1 -200 OK',
  'no status': 'HTTP/1.1 OK',
  'a NUL in the status': 'HTTP/1.1 2\x000 OK',
  'another version': 'HTTP/2.0 200 OK',
  'an unknown version': 'HTTP/9.9 200 OK',
  'another protocol': 'ICY 200 OK',
};

const ODD_LINES: Readonly<Record<string, string>> = {
  'a line without a colon': ODD_FIELD,
  'an empty name': ': odd',
  'a parenthesis in a name': 'X(Odd: odd',
  'a name that is no ASCII': 'X-\xe9: odd',
};

/** Creates the parts of a sound answer. */
function createParts(fields: HeadFields): HeadParts {
  return {
    statusLine: 'HTTP/1.1 200 OK',
    lines: Object.entries({
      ...fields,
      'Content-Type': 'text/event-stream',
    }).map(([name, value]) => `${name}: ${value}`),
    body: BODY,
  };
}

function format(
  {statusLine, lines, body}: HeadParts,
  lineEnd = '\r\n',
): string {
  return `${[statusLine, ...lines].join(lineEnd)}${lineEnd}${lineEnd}${body}`;
}

/** Adds a line, and one that states the length of the body. */
function addLine(parts: HeadParts, line: string): string {
  return format({...parts, lines: [...parts.lines, line, LENGTH_LINE]});
}

/** Adds a line that would frame the body, were it in order. */
function addFramingLine(
  parts: HeadParts,
  line: string,
  body = parts.body,
): string {
  return format({...parts, lines: [...parts.lines, line], body});
}

type Formatter = (parts: HeadParts) => string;

function listHeadsWithByte(
  name: string,
  byte: string,
): ReadonlyArray<readonly [string, Formatter]> {
  const inNames: ReadonlyArray<readonly [string, Formatter]> = [
    [`${name} before a name`, parts => addLine(parts, `${byte}X-Odd: odd`)],
    [`${name} in a name`, parts => addLine(parts, `X-${byte}Odd: odd`)],
    [`${name} after a name`, parts => addLine(parts, `X-Odd${byte}: odd`)],
    [
      `${name} before the name of the length`,
      parts => addFramingLine(parts, `${byte}${LENGTH_LINE}`),
    ],
    [
      `${name} after the name of the length`,
      parts => addFramingLine(parts, LENGTH_LINE.replace(':', `${byte}:`)),
    ],
    [
      `${name} before the name of the coding`,
      parts =>
        addFramingLine(
          parts,
          `${byte}Transfer-Encoding: chunked`,
          CHUNKED_BODY,
        ),
    ],
    [
      `${name} after the name of the coding`,
      parts =>
        addFramingLine(
          parts,
          `Transfer-Encoding${byte}: chunked`,
          CHUNKED_BODY,
        ),
    ],
  ];
  const inText: ReadonlyArray<readonly [string, Formatter]> = [
    [`${name} in a value`, parts => addLine(parts, `X-Odd: o${byte}dd`)],
    [
      `${name} in the reason`,
      parts =>
        addLine({...parts, statusLine: `HTTP/1.1 200 O${byte}K`}, 'X-Odd: odd'),
    ],
  ];
  return ALLOWED_IN_TEXT.includes(name) ? inNames : [...inNames, ...inText];
}

const FORMATTERS: ReadonlyMap<string, Formatter> = new Map([
  ...Object.entries(ODD_STATUS_LINES).map(
    ([name, statusLine]): readonly [string, Formatter] => [
      name,
      parts => addLine({...parts, statusLine}, 'X-Odd: odd'),
    ],
  ),
  ...Object.entries(ODD_LINES).map(
    ([name, line]): readonly [string, Formatter] => [
      name,
      parts => addLine(parts, line),
    ],
  ),
  ...Object.entries(ODD_BYTES).flatMap(([name, byte]) =>
    listHeadsWithByte(name, byte),
  ),
  [
    'lines that end with LF',
    (parts: HeadParts) =>
      format({...parts, lines: [...parts.lines, LENGTH_LINE]}, '\n'),
  ],
  [
    'lines that end with CR',
    (parts: HeadParts) =>
      format({...parts, lines: [...parts.lines, LENGTH_LINE]}, '\r'),
  ],
]);

/** Names of all kinds of broken heads. */
export const BROKEN_HEAD_KINDS: readonly string[] = [...FORMATTERS.keys()];

/**
 * Formats an answer with a broken head.
 *
 * @param kind - One of {@link BROKEN_HEAD_KINDS}
 * @param fields - Fields of the head that are in order
 * @returns All bytes of the answer
 * @throws Error when there is no such kind
 */
export function formatBrokenAnswer(kind: string, fields: HeadFields): Buffer {
  const formatter = FORMATTERS.get(kind);
  if (formatter === undefined) {
    throw new Error(`there is no broken head of the kind ${kind}`);
  }
  return Buffer.from(formatter(createParts(fields)), 'latin1');
}

/** How the bytes of an answer arrive, and what happens then. */
export interface Delivery {
  readonly arrival: 'whole' | 'in_pieces';
  readonly end: 'held' | 'closed' | 'reset';
}

/** All combinations of arrivals and ends. */
export const DELIVERIES: readonly Delivery[] = (
  ['whole', 'in_pieces'] as const
).flatMap(arrival =>
  (['held', 'closed', 'reset'] as const).map(end => ({arrival, end})),
);

/** Size of the pieces, which cuts names, values and line ends. */
const PIECE_BYTES = 23;

/** Time between the last bytes and a reset, which may overtake them. */
const RESET_DELAY_MILLISECONDS = 20;

/**
 * Writes the bytes of an answer to its connection.
 *
 * @param socket - Connection on which the request arrived
 * @param bytes - All bytes of the answer
 * @param delivery - How they arrive, and what happens to the connection then
 */
export async function deliver(
  socket: Socket,
  bytes: Buffer,
  {arrival, end}: Delivery,
): Promise<void> {
  const size = arrival === 'whole' ? bytes.length : PIECE_BYTES;
  for (let start = 0; start < bytes.length; start += size) {
    if (socket.destroyed) {
      return;
    }
    socket.write(bytes.subarray(start, start + size));
    await new Promise(resolve => setImmediate(resolve));
  }
  if (end === 'closed') {
    socket.end();
  } else if (end === 'reset') {
    setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MILLISECONDS);
  }
}
