/**
 * Logs each event as one line of key=value pairs.
 */
import logfmt from 'logfmt';
import winston from 'winston';

/** Fields of an event; undefined values are not written. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes events at one of four levels. */
export interface EventLogger {
  error(event: string, fields?: EventFields): void;
  warn(event: string, fields?: EventFields): void;
  info(event: string, fields?: EventFields): void;
  debug(event: string, fields?: EventFields): void;
}

/** Options of {@link createLogger}. */
export interface CreateLoggerOptions {
  /** Lowest level that is written. */
  readonly level: string;
  /** Fields that are added to every event. */
  readonly fields: EventFields;
  /** Stream that receives the lines; defaults to standard error. */
  readonly stream?: NodeJS.WritableStream;
}

/**
 * Creates a logger.
 *
 * Values are quoted and control characters escaped, so that no value, whatever
 * a caller supplies, starts a new line or a new pair.
 *
 * @param options - Level, stream and fields of every event
 * @returns The logger
 *
 * @example
 * createLogger({level: 'info', fields: {role: 'gateway'}}).info('ready');
 */
export function createLogger(options: CreateLoggerOptions): EventLogger {
  const logger = winston.createLogger({
    level: options.level,
    format: winston.format.printf(info => formatLine(info)),
    transports: [
      new winston.transports.Stream({stream: options.stream ?? process.stderr}),
    ],
  });
  const write =
    (level: string) =>
    (event: string, fields: EventFields = {}): void => {
      logger.log({level, message: event, ...options.fields, ...fields, event});
    };
  return {
    error: write('error'),
    warn: write('warn'),
    info: write('info'),
    debug: write('debug'),
  };
}

function formatLine(info: winston.Logform.TransformableInfo): string {
  const {level, event, message, ...fields} = info;
  const time = new Date().toISOString();
  const pairs: Record<string, unknown> = {time, level, event};
  // The library's own `message` field repeats the event name, unless the event
  // has a field of that name.
  if (message !== event) {
    pairs['message'] = escapeControlCharacters(message);
  }
  for (const [name, value] of Object.entries(fields)) {
    if (value !== undefined) {
      pairs[name] = escapeControlCharacters(value);
    }
  }
  return logfmt.stringify(pairs);
}

function escapeControlCharacters(value: unknown): unknown {
  if (typeof value !== 'string') {
    return value;
  }
  return value.replace(/[\p{Cc}\u2028\u2029]/gu, character => {
    const code = character.codePointAt(0) ?? 0;
    return `\\u${code.toString(16).padStart(4, '0')}`;
  });
}
