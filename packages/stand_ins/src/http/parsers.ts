/**
 * Parsers behind which processes read answers.
 */

/** A parser, and the options of Node.js that choose it. */
export interface Parser {
  readonly description: string;
  readonly nodeOptions: readonly string[];
}

/**
 * The parser that Node.js has by default, and one that accepts more, as those of
 * other versions do.
 */
export const PARSERS: readonly Parser[] = [
  {description: 'the default parser', nodeOptions: []},
  {description: 'a lax parser', nodeOptions: ['--insecure-http-parser']},
];
