/**
 * Types of the logfmt functions that are used.
 */
declare module 'logfmt' {
  const logfmt: {
    stringify(data: Record<string, unknown>): string;
    parse(line: string): Record<string, string | boolean | null>;
  };
  export default logfmt;
}
