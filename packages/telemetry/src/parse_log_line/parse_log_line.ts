/**
 * Lines of key=value pairs.
 */
import logfmt from 'logfmt';

/**
 * Parses a line of a log.
 *
 * @param line - The line
 * @returns Its pairs
 *
 * @example
 * parseLogLine('event=request status=200'); //=> {event: 'request', ...}
 */
export function parseLogLine(line: string): Record<string, string> {
  const pairs = Object.entries(logfmt.parse(line));
  return Object.fromEntries(
    pairs.map(([name, value]) => [name, String(value)]),
  );
}
