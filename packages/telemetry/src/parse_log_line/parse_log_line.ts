/**
 * Parses log lines of key=value pairs.
 */
import logfmt from 'logfmt';

/**
 * Parses a log line.
 *
 * @param line - Line of key=value pairs
 * @returns Values by key, as strings
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
